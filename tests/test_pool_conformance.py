import testtools
from hypothesis.stateful import run_state_machine_as_test

from cranberrywheel.process import instance_lifecycle
from cranberrywheel.process.zone_record import ZoneRecord
from cranberrywheel_spec.compare import build_run_settings
from cranberrywheel_spec.pool_conformance import PoolMachine, _Client


class RereadingZone(ZoneRecord):
    """Writes against the newest revision instead of the one that it has read."""

    def _write(self, pools):
        self._stored = self._records.read(self._key)
        super()._write(pools)


class UnconfirmedZone(ZoneRecord):
    """Treats the recorded states as confirmed without calling the platform."""

    def claim(self, configuration, now_ms):
        super().claim(configuration, now_ms)
        self._confirmed_ms_by_name = dict.fromkeys(self.pools.assignments_by_name, 0)


class UnfencedClient(_Client):
    def control_instance(self, name, action, fence):
        return super().control_instance(name, action, 99)


def advance_without_idle_report(row, report, rebooted, due, now_ms):
    return instance_lifecycle.advance(
        row, instance_lifecycle.WorkerReport(running=0), rebooted, due, now_ms
    )


class PoolConformanceTest(testtools.TestCase):
    """Guards against conformance checks that miss faults in the pool code."""

    def test_faulty_moves_are_detected(self):
        for changes in (
            {"make_zone": RereadingZone},
            {"make_zone": UnconfirmedZone},
            {"make_client": UnfencedClient},
            {"advance": staticmethod(advance_without_idle_report)},
        ):
            faulty_class = type("Changed", (PoolMachine,), changes)
            self.assertRaises(
                AssertionError,
                run_state_machine_as_test,
                faulty_class,
                settings=build_run_settings(500),
            )
