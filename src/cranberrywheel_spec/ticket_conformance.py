"""Compares ``TicketRegistry`` with the ticket model."""

import typing as t

from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.ticket import Claim, ClaimState, TicketRegistry
from cranberrywheel.settings import EntrySettings, PlatformSettings
from cranberrywheel_spec.conformance import ConformanceMachine
from cranberrywheel_spec.model_execution import CompiledModel, ModelExecution
from cranberrywheel_spec.tickets import (
    EXPIRED,
    FINISHED,
    PAST_RETENTION,
    VALID,
    VOID,
    tickets,
)

_SETTINGS = EntrySettings(
    instance="e1",
    zone="z1",
    host="127.0.0.1",
    http_port=8000,
    peer_port=8001,
    operator_token_file="unused",
    platform=PlatformSettings(url="http://127.0.0.1:9"),
)
_MODEL = CompiledModel(tickets())
_ACCEPTS, _REFUSES = "owner accepts a call", "owner refuses a call"
_REFUSES_EXPORTED = "owner refuses a call after its export"
_ANSWERS_QUERY, _PEER_REFUSES = "owner answers a query", "peer answers not-run"
_RELEASES = "worker refuses the start and owner releases"


def _answer(outcome: Outcome) -> Answer:
    return Answer(request_id="r", outcome=outcome, status=200, body=b"b")


class TicketMachine(ConformanceMachine):
    """Uses one ticket; the model must allow each answer of the registry."""

    make_registry: t.ClassVar[type[TicketRegistry]] = TicketRegistry
    #: Whether a handover may follow the end of the ticket's retention.
    late_handover: t.ClassVar[bool] = False

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.owner = self.make_registry("z1.e1.0", _SETTINGS, b"secret")
        self.peer = self.make_registry("z1.e2.0", _SETTINGS, b"other")
        self.ticket = self.owner.issue("t", "q", 0)
        self.execution = ModelExecution(_MODEL)

    @classmethod
    def model(cls) -> CompiledModel:
        """Return the model that this machine compares with."""
        return _MODEL

    def list_step_weights(self) -> dict[str, int]:
        values = self.execution.values
        late = values["age"] == PAST_RETENTION
        possible = {
            "send_start": self._can("owner sends the start"),
            "worker_starts": self._can("worker starts the task"),
            "answer": self._can("owner gets the answer"),
            "worker_refuses": self._can(_RELEASES),
            "give_up": self._can("owner gives up waiting"),
            "expire_ticket": values["age"] == VALID,
            "pass_retention": values["age"] == EXPIRED,
            "hand_over": not values["exported"] and (self.late_handover or not late),
        }
        always = {"call": 3, "query": 1, "query_peer": 1, "clean_up": 1}
        likely = ("send_start", "worker_starts", "answer")
        return always | {
            name: 3 if name in likely else 1 for name, can in possible.items() if can
        }

    def _can(self, name: str) -> bool:
        return name in self.execution.find_enabled_actions()

    def _check_not_run(self, claim: Claim, *actions: str) -> None:
        """Require ``not-run`` exactly when one of the actions is enabled."""
        possible = [name for name in actions if self._can(name)]
        assert (claim.state is ClaimState.NOT_RUN) == bool(possible), claim
        if possible:
            self.execution.take_action(possible[0])

    def call(self) -> None:
        accepts = self._can(_ACCEPTS)
        claim = self.owner.claim(self.ticket, "t", "q", self.now_ms)
        assert (claim.state is ClaimState.NEW) == accepts, claim
        if accepts:
            self.execution.take_action(_ACCEPTS)
        else:
            self._check_not_run(claim, _REFUSES, _REFUSES_EXPORTED)
            self._check_state(claim)

    def query(self) -> None:
        claim = self.owner.query(self.ticket, self.now_ms)
        self._check_not_run(claim, _ANSWERS_QUERY)
        self._check_state(claim)

    def _check_state(self, claim: Claim) -> None:
        finished = self.execution.values["record"] == FINISHED
        assert (claim.state is ClaimState.FINISHED) == finished, claim

    def send_start(self) -> None:
        self.owner.mark_started(self.ticket)
        self.execution.take_action("owner sends the start")

    def worker_starts(self) -> None:
        self.execution.take_action("worker starts the task")

    def worker_refuses(self) -> None:
        self.owner.release(self.ticket, self.now_ms)
        self.execution.take_action(_RELEASES)

    def answer(self) -> None:
        outcome = self.rng.choice([Outcome.OK, Outcome.FAILED])
        self.owner.finish(self.ticket, _answer(outcome), self.now_ms)
        self.execution.take_action("owner gets the answer")

    def give_up(self) -> None:
        self.owner.finish(self.ticket, _answer(Outcome.UNKNOWN), self.now_ms)
        self.execution.take_action("owner gives up waiting")

    def expire_ticket(self) -> None:
        self.now_ms = _SETTINGS.ticket_lifetime_ms
        self.execution.take_action("ticket expires")

    def pass_retention(self) -> None:
        self.now_ms += _SETTINGS.ticket_retention_ms
        self.execution.take_action("retention passes")

    def clean_up(self) -> None:
        """Expire records; the registry may drop one only when the model may."""
        self.owner.expire(self.now_ms)
        record = self.execution.values["record"]
        if record == VOID and self.execution.values["age"] != VALID:
            self.execution.take_action("owner drops a void record")
        elif record == FINISHED:
            claim = self.owner.query(self.ticket, self.now_ms)
            if claim.state is not ClaimState.FINISHED:
                assert claim.state is ClaimState.UNKNOWN, claim
                self.execution.take_action("owner drops the record")

    def hand_over(self) -> None:
        export = self.owner.export_results(self.now_ms)
        self.peer.import_results("z1.e1.0", export)
        self.execution.take_action("owner exports")
        self.execution.take_action("peer takes over")

    def query_peer(self) -> None:
        claim = self.peer.query(self.ticket, 0)
        if not self.execution.values["handed_over"]:
            assert claim.state is ClaimState.UNKNOWN, claim
        else:
            self._check_not_run(claim, _PEER_REFUSES)
