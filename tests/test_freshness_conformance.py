import testtools
from hypothesis.stateful import run_state_machine_as_test

from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel_spec.compare import build_run_settings
from cranberrywheel_spec.freshness_conformance import FreshnessMachine


class AnswerTimeReadExchange(PeerExchange):
    def record_store_read(self, taken_ms):
        super().record_store_read(self._clock.now_ms())


class AnswerTimeMessageExchange(PeerExchange):
    def merge_state(self, state, sent_ms):
        return super().merge_state(state, sent_ms and self._clock.now_ms())


class NoTombstoneExchange(PeerExchange):
    def add_tombstone(self, key_id):
        if self.process_id.startswith("z1.e4"):
            super().add_tombstone(key_id)


class VersionIgnoringExchange(PeerExchange):
    def merge_state(self, state, sent_ms):
        state.configuration_version = 0
        return super().merge_state(state, sent_ms)


class AnyPeerExchange(PeerExchange):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        membership = self._membership
        membership.known_until_ms = lambda: max(
            membership.last_report_ms_by_id().values(), default=None
        )


class RevertingExchange(PeerExchange):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        adopt = self.active_configuration.adopt

        def adopt_older(record):
            self.active_configuration._snapshot = None
            return adopt(record)

        self.active_configuration.adopt = adopt_older


class FreshnessConformanceTest(testtools.TestCase):
    """Guards against conformance checks that miss a false proof of freshness."""

    def test_faulty_exchanges_are_detected(self):
        for faulty_class in (
            AnswerTimeReadExchange,
            AnswerTimeMessageExchange,
            NoTombstoneExchange,
            VersionIgnoringExchange,
            AnyPeerExchange,
            RevertingExchange,
        ):
            machine = type(
                "Changed", (FreshnessMachine,), {"make_exchange": faulty_class}
            )
            self.assertRaises(
                AssertionError,
                run_state_machine_as_test,
                machine,
                settings=build_run_settings(500),
            )
