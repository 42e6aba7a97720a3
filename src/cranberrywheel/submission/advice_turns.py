"""Order in which the steps that need tickets have their turn at the advisor.

The queues of the best priority go first, among them the organisation that has had least
of the advisor's time for its weight, among its queues the one that has had least, and
in a queue the order of the scheduling pass.
"""

import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.fair_shares import clamp_weight
from cranberrywheel.submission.live import StepRun


class _FairOrder:
    """Time that each of several competitors has had of the advisor.

    One that comes back after a pause begins at the level of those that are served, so
    that it gets no credit for the time in which it asked for nothing.
    """

    def __init__(self) -> None:
        #: Level and number of the last turn.
        self._last_turn_by_key: dict[str, tuple[float, int]] = {}
        self._floor = 0.0
        self._turn_count = 0

    def get_rank(self, key: str) -> tuple[float, int]:
        """Return the sort key; the smallest goes first."""
        level, turn = self._last_turn_by_key.get(key, (0.0, 0))
        return max(self._floor, level), turn

    def charge(self, key: str, cost: float) -> None:
        """Give a turn to a competitor."""
        self._floor, _ = self.get_rank(key)
        self._turn_count += 1
        self._last_turn_by_key = {
            other: (level, turn)
            for other, (level, turn) in self._last_turn_by_key.items()
            if level > self._floor
        }
        self._last_turn_by_key[key] = self._floor + cost, self._turn_count


_CompetitorKey = tuple[int, str, str]


class AdviceTurns:
    """Steps that need tickets, and the turns of their queues at the advisor.

    :ivar may_ask: the advisor is free and may be asked; set by the leader.
    :ivar answer_count: answers that brought tickets for a step that still lives.
    :ivar used_answer_count: those of them that led to a start.
    :ivar waiting_count: steps that wait for tickets, when they were last counted.
    :ivar longest_wait_ms: longest time for which one of them had waited then.
    """

    def __init__(self) -> None:
        self.may_ask = False
        self.answer_count = 0
        self.used_answer_count = 0
        self.waiting_count = 0
        self.longest_wait_ms = 0
        self._candidates_by_service: dict[
            str, dict[_CompetitorKey, tuple[StepRun, tuple[Executor, ...]]]
        ] = {}
        self._organisations_by_priority: dict[int, _FairOrder] = {}
        self._queues_by_organisation: dict[tuple[int, str], _FairOrder] = {}

    def begin_pass(self, service: str) -> None:
        """Forget the candidates of a service, which its pass finds anew."""
        self._candidates_by_service.pop(service, None)

    def has_candidate(self, step_run: StepRun) -> bool:
        """Tell whether an earlier step of the same queue and organisation will ask."""
        candidates = self._candidates_by_service.get(step_run.live.queue.service, {})
        return _get_competitor_key(step_run) in candidates

    def add_candidate(self, step_run: StepRun, executors: tuple[Executor, ...]) -> None:
        """Add the first step of a queue and an organisation that needs tickets."""
        service = step_run.live.queue.service
        candidates = self._candidates_by_service.setdefault(service, {})
        candidates[_get_competitor_key(step_run)] = (step_run, executors)

    def take_next(self) -> tuple[StepRun, tuple[Executor, ...]] | None:
        """Remove and return the candidate whose turn it is; ``None`` without any."""
        keys = {
            key
            for candidates in self._candidates_by_service.values()
            for key in candidates
        }
        for key in sorted(keys, key=self._get_rank):
            for candidates in self._candidates_by_service.values():
                step_run, executors = candidates.pop(key, (None, ()))
                if (
                    step_run is not None
                    and step_run.waiting
                    and not step_run.live.final_state
                ):
                    return step_run, executors
        return None

    def _get_rank(self, key: _CompetitorKey) -> tuple[t.Any, ...]:
        priority, organisation, queue = key
        organisations = self._organisations_by_priority.get(priority, _FairOrder())
        queues = self._queues_by_organisation.get(
            (priority, organisation), _FairOrder()
        )
        return (
            priority,
            organisations.get_rank(organisation),
            organisation,
            queues.get_rank(queue),
            queue,
        )

    def charge(self, step_run: StepRun, call_ms: int, weight: float) -> None:
        """Count a call as time of the advisor that a step's queue has had."""
        priority, organisation, queue = _get_competitor_key(step_run)
        cost = max(1, call_ms)
        self._organisations_by_priority.setdefault(priority, _FairOrder()).charge(
            organisation, cost / clamp_weight(weight)
        )
        self._queues_by_organisation.setdefault(
            (priority, organisation), _FairOrder()
        ).charge(queue, cost)


def _get_competitor_key(step_run: StepRun) -> _CompetitorKey:
    live = step_run.live
    return live.queue.priority, live.submission.organisation, live.queue.key
