import dataclasses

import testtools
from hypothesis.stateful import run_state_machine_as_test

from cranberrywheel.request.ticket import ClaimState, TicketRegistry
from cranberrywheel_spec.compare import build_run_settings
from cranberrywheel_spec.ticket_conformance import TicketMachine


class NoVoidRegistry(TicketRegistry):
    def query(self, ticket, now_ms):
        claim = super().query(ticket, now_ms)
        if claim.state is ClaimState.NOT_RUN:
            self._records_by_ticket.pop(ticket, None)
        return claim


class EarlyDropRegistry(TicketRegistry):
    def expire(self, now_ms):
        super().expire(now_ms + self._settings.ticket_retention_ms)


class IncompleteExportRegistry(TicketRegistry):
    def export_results(self, now_ms):
        export = super().export_results(now_ms)
        listed = tuple((t, a) for t, a in export.results if a.outcome != "unknown")
        return dataclasses.replace(export, results=listed)


class RepeatedClaimRegistry(TicketRegistry):
    def claim(self, ticket, team, queue, now_ms):
        claim = super().claim(ticket, team, queue, now_ms)
        if claim.state is ClaimState.RUNNING:
            self.release(ticket, now_ms)
            return super().claim(ticket, team, queue, now_ms)
        return claim


class TicketConformanceTest(testtools.TestCase):
    """Guards against conformance checks that miss faults in the ticket registry."""

    def test_faulty_registries_are_detected(self):
        for faulty_class in (
            NoVoidRegistry,
            EarlyDropRegistry,
            IncompleteExportRegistry,
            RepeatedClaimRegistry,
        ):
            machine = type("Machine", (TicketMachine,), {"make_registry": faulty_class})
            self.assertRaises(
                AssertionError,
                run_state_machine_as_test,
                machine,
                settings=build_run_settings(300),
            )

    def test_handover_after_retention_stays_unknown(self):
        machine = type("LateMachine", (TicketMachine,), {"late_handover": True})
        run_state_machine_as_test(machine, settings=build_run_settings(300))
