"""Admission in one process: the leader's load, its age, and the verdicts.

Load pattern: during a burst each of 40 entry processes takes some submissions a second.
The answers to their notices of stored submissions say whether a pool is contended; only
then a process that has a submission to decide asks the leader for the load, at most
every ``REFRESH_MS``. The age of the load counts from the request, so that an answer
that was on its way for seconds is never taken for a fresh one.
"""

import collections
import dataclasses
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.admission_messages import (
    MAX_TURNS_PER_MESSAGE,
    LoadAnswer,
    LoadRequest,
    TurnChange,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from cranberrywheel.node.keys import submission_key
from cranberrywheel.node.leader import Leader, unix_ms
from cranberrywheel.node.leadership import Holder
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Outcome, StoreReply
from cranberrywheel.submission.admission import Verdict, decide_admission, is_refusable
from cranberrywheel.submission.features import (
    NO_FEATURES,
    Features,
    FeatureSettings,
    select_features,
)
from cranberrywheel.submission.model import Configuration, Queue, Submission
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.pool_load import PoolLoad, compute_load_by_service
from cranberrywheel.submission.turns import Turns

#: Path on which peers ask the leader for the load.
ADMISSION_PATH = "/peer/admission"
#: Field of the answer to a notice of stored submissions while a pool is contended.
CONTENDED_FIELD = "contended"
#: Interval between two requests of a process, and between two summaries of the leader.
REFRESH_MS = 250
#: Age from which the load is not used: three requests have failed.
MAX_LOAD_AGE_MS = 3 * REFRESH_MS
#: Time for which a process asks after it was last told that a pool is contended.
CONTENDED_MEMORY_MS = 2_000
#: Timeout of a request, for which submissions wait. A round trip takes 1 ms.
REQUEST_TIMEOUT_MS = 150
#: Submissions that are remembered as handed to the store: a minute of 300 a second.
MAX_BEGUN = 20_000
#: Changes of turns that the leader keeps for its peers, or a process for the leader.
MAX_CHANGES = 512

_log = ComponentLogger("admission")


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a submission that is not stored.

    :param retry_after_s: whole seconds after which to return.
    """

    retry_after_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownLoad:
    """Load with the steady time at which it was certainly not newer."""

    fence: int
    as_of_ms: int
    load_by_service: dict[str, PoolLoad]


class AdmissionSync:
    """Decides on submissions. All methods run on the loop's thread.

    :param own_address: ``host:port`` on which this process serves its peers.
    :param find_leader: returns the leader if this process leads with a valid lease.
    :param find_holder: returns the newest known leader; ``None`` for none.
    :param find_configuration: returns the configuration in force.
    :ivar refusals: number of refusals.
    :ivar kept_turns: number of refused submissions that were accepted in their turn.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        own_address: str,
        find_leader: t.Callable[[], Leader | None],
        find_holder: t.Callable[[], Holder | None],
        find_configuration: t.Callable[[], Configuration | None],
        feature_settings: FeatureSettings,
        timing: PlatformTiming,
    ) -> None:
        self._loop = loop
        self._store = store
        self._own_address = own_address
        self._find_leader = find_leader
        self._find_holder = find_holder
        self._find_configuration = find_configuration
        self._feature_settings = feature_settings
        self._timing = timing
        self._configuration: Configuration | None = None
        self._features = NO_FEATURES
        self._load: _KnownLoad | None = None
        self._contended_until_ms = 0
        self._requested_ms = 0
        self._waiting: list[t.Callable[[], None]] = []
        self._is_requesting = False
        self._turns = Turns()
        self._begun: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._unreported: collections.deque[TurnChange] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self._seen = (0, 0)
        #: Changes at the leader: number, address of the process, change.
        self._changes: collections.deque[tuple[int, str, TurnChange]] = (
            collections.deque(maxlen=MAX_CHANGES)
        )
        self._change_count = 0
        self._changes_fence = 0
        self.refusals = 0
        self.kept_turns = 0

    def register_metrics(self, metrics: Metrics) -> None:
        """Add the metrics of admission."""
        metrics.gauge(
            "cranberrywheel_admission_refusals",
            "Submissions that this process refused because of load",
            lambda: float(self.refusals),
        )
        metrics.gauge(
            "cranberrywheel_admission_kept_turns",
            "Refused submissions that this process accepted in their turn",
            lambda: float(self.kept_turns),
        )
        metrics.gauge(
            "cranberrywheel_admission_turns",
            "Refused submissions whose place is remembered",
            lambda: float(len(self._turns.by_id)),
        )
        metrics.gauge(
            "cranberrywheel_admission_contended_pools",
            "Contended pools in the load that this process knows",
            lambda: float(len(self._load.load_by_service) if self._load else 0),
        )

    # Verdicts

    def check(
        self, submission: Submission, done: t.Callable[[Submission | Refusal], None]
    ) -> None:
        """Decide on a submission before it is handed to the store.

        An id that this process has handed to the store before, or that the store holds,
        is never refused.

        :param done: gets the submission to store, or the refusal.
        """
        configuration = self._find_configuration()
        if configuration is None or not self.is_on:
            done(submission)
            return
        queue = configuration.queues_by_key.get(submission.queue)
        if (
            queue is None
            or submission.id in self._begun
            or not is_refusable(submission, queue)
        ):
            self._accept(submission, done)
            return
        self._with_load(lambda: self._decide(submission, queue, configuration, done))

    def _select_features(self) -> Features:
        """Return the parts that are on; a process that does not lead has no other."""
        configuration = self._find_configuration()
        if configuration is None:
            return NO_FEATURES
        if configuration is not self._configuration:
            self._configuration = configuration
            self._features = select_features(
                self._feature_settings, configuration, self._timing
            )
        return self._features

    @property
    def is_on(self) -> bool:
        """Whether submissions are refused because of load; from any thread."""
        return self._select_features().admission

    def _decide(
        self,
        submission: Submission,
        queue: Queue,
        configuration: Configuration,
        done: t.Callable[[Submission | Refusal], None],
    ) -> None:
        now_ms = self._loop.clock.now_ms()
        try:
            known = self._get_load(now_ms)
            had_turn = self._turns.find(submission.id, now_ms) is not None
            verdict = decide_admission(
                known.load_by_service.get(queue.service) if known else None,
                now_ms - known.as_of_ms if known else 0,
                submission,
                queue,
                configuration,
                self._select_features().fair_shares,
                self._turns,
                now_ms,
            )
        except Exception as error:
            _log.failure("admission not decided", error, request=submission.id)
            self._accept(submission, done)
            return
        if not verdict.is_refused:
            self._accept(submission, done)
            return

        def on_read(reply: StoreReply) -> None:
            is_absent = reply.outcome is Outcome.OK and not reply.items
            if not is_absent or submission.id in self._begun:
                if not had_turn:
                    self._turns.end(submission.id)
                self._accept(submission, done)
                return
            try:
                if not had_turn:
                    self._report(submission.id)
                self._log_refusal(submission, queue, verdict, known, had_turn)
            except Exception as error:
                _log.failure("refusal not recorded", error, request=submission.id)
                self._accept(submission, done)
                return
            self.refusals += 1
            done(Refusal(verdict.retry_after_s))

        # Another process may have stored the id, also after this process refused it.
        self._store.read_all(submission_key(submission.id), on_read)

    def _accept(
        self,
        submission: Submission,
        done: t.Callable[[Submission | Refusal], None],
    ) -> None:
        """Hand a submission on to the store; it is never refused from now on."""
        self._begun[submission.id] = None
        if len(self._begun) > MAX_BEGUN:
            self._begun.popitem(last=False)
        now_ms = self._loop.clock.now_ms()
        turn = self._turns.find(submission.id, now_ms)
        if turn is not None:
            self.kept_turns += turn.is_due(now_ms)
            # Its objective began with the first attempt, and so does its place.
            waited_ms = now_ms - turn.refused_ms
            _log.event(
                "refused submission accepted",
                request=submission.id,
                waited_ms=waited_ms,
                due_ms=turn.due_ms - now_ms,
            )
            submission = dataclasses.replace(
                submission, accepted_ms=submission.accepted_ms - waited_ms
            )
        if self._turns.end(submission.id):
            self._report(submission.id)
        done(submission)

    def _log_refusal(
        self,
        submission: Submission,
        queue: Queue,
        verdict: Verdict,
        known: _KnownLoad | None,
        had_turn: bool,
    ) -> None:
        _log.event(
            "submission refused",
            request=submission.id,
            queue=queue.name,
            organisation=submission.organisation,
            reason=verdict.reason,
            retry_after_s=verdict.retry_after_s,
            returned=had_turn,
            on_time_wait_ms=verdict.on_time_wait_ms,
            wait_ms=verdict.wait_ms,
            end_ms=verdict.end_ms,
            objective_ms=verdict.objective_ms,
            drain_cpu=verdict.drain_cpu,
            load_age_ms=verdict.load_age_ms,
            fence=known.fence if known else 0,
            turns=len(self._turns.by_id),
        )

    # The load

    def _get_load(self, now_ms: int) -> _KnownLoad | None:
        """Return the load; ``None`` if it is too old or from a deposed leader."""
        leader = self._find_leader()
        if leader is not None:
            return self._summarise(leader, now_ms)
        holder = self._find_holder()
        known = self._load
        if (
            known is None
            or holder is None
            or known.fence < holder.fence
            or now_ms - known.as_of_ms > MAX_LOAD_AGE_MS
        ):
            return None
        return known

    def _with_load(self, then: t.Callable[[], None]) -> None:
        """Call ``then`` once the load is fresh, or cannot be had."""
        now_ms = self._loop.clock.now_ms()
        holder = self._find_holder()
        if (
            holder is None
            or holder.address == self._own_address
            or now_ms > self._contended_until_ms
        ):
            then()
        elif self._is_requesting:
            self._waiting.append(then)
        elif now_ms - self._requested_ms < REFRESH_MS:
            then()
        else:
            self._waiting.append(then)
            self._request(holder, now_ms)

    def _request(self, holder: Holder, now_ms: int) -> None:
        self._is_requesting = True
        self._requested_ms = now_ms
        changes = [
            self._unreported.popleft()
            for _ in range(min(MAX_TURNS_PER_MESSAGE, len(self._unreported)))
        ]
        fence, seen = self._seen
        body = encode_request(
            LoadRequest(self._own_address, fence, seen, tuple(changes)), now_ms
        )
        request = HttpRequest(
            "POST",
            holder.address,
            ADMISSION_PATH,
            body,
            timeout_ms=REQUEST_TIMEOUT_MS,
        )

        def on_reply(reply: HttpReply) -> None:
            self._is_requesting = False
            if not self._take_answer(reply, now_ms):
                self._unreported.extendleft(reversed(changes))
            waiting, self._waiting = self._waiting, []
            for then in waiting:
                try:
                    then()
                except Exception as error:  # of one caller; the others still wait
                    _log.failure("admission of a submission failed", error)

        self._loop.call(request, on_reply)

    def _take_answer(self, reply: HttpReply, requested_ms: int) -> bool:
        """Take over the load from an answer; false if there is none."""
        if reply.status != 200:
            return False
        now_ms = self._loop.clock.now_ms()
        try:
            answer = decode_answer(reply.body, now_ms)
        except ValueError as error:
            _log.warning("load of a peer cannot be decoded", error=str(error)[:200])
            return False
        holder = self._find_holder()
        newest_fence = max(
            holder.fence if holder else 0, self._load.fence if self._load else 0
        )
        if answer.fence < newest_fence:
            _log.warning(
                "load of a deposed leader ignored",
                fence=answer.fence,
                newest=newest_fence,
            )
            return False
        self._load = _KnownLoad(
            answer.fence, requested_ms - answer.age_ms, answer.load_by_service
        )
        self._seen = (answer.fence, answer.seen)
        if answer.load_by_service:
            self._contended_until_ms = now_ms + CONTENDED_MEMORY_MS
        for change in answer.changes:
            self._apply_change(change, now_ms)
        return True

    def take_notice_answer(self, reply: HttpReply) -> None:
        """Learn from the answer to a notice whether a pool is contended."""
        try:
            is_contended = decode_object(reply.body).get(CONTENDED_FIELD) is True
        except FIELD_ERRORS:
            return
        if is_contended:
            now_ms = self._loop.clock.now_ms()
            self._contended_until_ms = now_ms + CONTENDED_MEMORY_MS

    # Turns

    def _apply_change(self, change: TurnChange, now_ms: int) -> None:
        submission_id, turn = change
        if turn is None:
            self._turns.end(submission_id)
        elif submission_id not in self._begun:
            self._turns.put(submission_id, turn, now_ms)

    def _report(self, submission_id: str) -> None:
        """Pass the turn of a submission on, or that it has none any more."""
        change = (submission_id, self._turns.by_id.get(submission_id))
        leader = self._find_leader()
        if leader is not None:
            self._begin_term(leader.scheduler.fence)
            self._record_change(self._own_address, change)
        else:
            self._unreported.append(change)

    def _begin_term(self, fence: int) -> None:
        """Forget the changes of an earlier leadership of this process.

        Turns may have ended since without its knowledge.
        """
        if fence != self._changes_fence:
            self._changes_fence = fence
            self._changes.clear()

    def _record_change(self, address: str, change: TurnChange) -> None:
        self._change_count += 1
        self._changes.append((self._change_count, address, change))

    # At the leader

    def _summarise(self, leader: Leader, now_ms: int) -> _KnownLoad:
        scheduler = leader.scheduler
        known = self._load
        if (
            known is not None
            and known.fence == scheduler.fence
            and now_ms - known.as_of_ms < REFRESH_MS
        ):
            return known
        load_by_service: dict[str, PoolLoad] = {}
        if leader.is_loaded and scheduler.features.admission:
            machines = (
                leader.maintenance.count_expected_machines()
                if leader.maintenance
                else {}
            )
            load_by_service = compute_load_by_service(
                scheduler, machines, now_ms, unix_ms()
            )
        self._load = _KnownLoad(scheduler.fence, now_ms, load_by_service)
        return self._load

    def is_contended(self) -> bool:
        """Tell whether this process leads and a pool is contended."""
        leader = self._find_leader()
        if leader is None or not leader.scheduler.features.admission:
            return False
        known = self._summarise(leader, self._loop.clock.now_ms())
        return bool(known.load_by_service)

    def answer(self, body: bytes) -> dict[str, t.Any]:
        """Answer a peer's request; empty if this process does not lead."""
        now_ms = self._loop.clock.now_ms()
        leader = self._find_leader()
        if leader is None or not leader.is_loaded:
            return {}
        try:
            request = decode_request(body, now_ms)
        except ValueError as error:
            _log.warning("request of a peer cannot be decoded", error=str(error)[:200])
            return {}
        self._begin_term(leader.scheduler.fence)
        for change in request.changes:
            self._apply_change(change, now_ms)
            self._record_change(request.address, change)
        known = self._summarise(leader, now_ms)
        seen = request.seen if request.fence == known.fence else 0
        rows = [
            (number, change)
            for number, address, change in self._changes
            if number > seen and address != request.address
        ][:MAX_TURNS_PER_MESSAGE]
        is_complete = len(rows) < MAX_TURNS_PER_MESSAGE
        return encode_answer(
            LoadAnswer(
                known.fence,
                known.load_by_service,
                now_ms - known.as_of_ms,
                self._change_count if is_complete else rows[-1][0],
                tuple(change for _, change in rows),
            ),
            now_ms,
        )
