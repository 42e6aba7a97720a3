"""Replay of bursts with admission: refused callers return as they were told."""

import bisect
import collections
import dataclasses
import random

from cranberrywheel.submission.admission import decide_admission
from cranberrywheel.submission.pool_load import (
    WORTHLESS_AFTER_OBJECTIVES,
    compute_load_by_service,
    count_expected_machines,
)
from cranberrywheel.submission.turns import Turns
from cranberrywheel_load.burst_load import BurstArrival, BurstPlan, build_queue
from cranberrywheel_load.burst_replay import BurstReplay, Cut

#: Interval at which the summary is read, as by an entry process.
SUMMARY_INTERVAL_MS = 250
#: Retries of a caller, and range of its delay beyond what it was told.
MAX_RETRIES = 4
RETURN_JITTER_MS = 200


@dataclasses.dataclass
class Outcomes:
    """Numbers of callers.

    :ivar late: served after their objective.
    :ivar worthless: never served, or later than three times the objective.
    :ivar refused: refused at least once.
    :ivar served_later: refused, accepted later and served.
    :ivar lost: refused and never accepted.
    """

    arrivals: int = 0
    in_time: int = 0
    late: int = 0
    worthless: int = 0
    refused: int = 0
    served_later: int = 0
    lost: int = 0


class AdmissionReplay(BurstReplay):
    """A replay in which one entry process decides on admission.

    :param admits: whether admission is on.
    :param returns: delay of a caller's return as a multiple of what it was told; 0:
        callers never return.
    :ivar verdicts: every refusal, as time, submission id and verdict.
    """

    def __init__(
        self,
        plan: BurstPlan,
        seed: int,
        admits: bool = True,
        returns: float = 1.0,
        cuts: tuple[Cut, ...] = (),
    ) -> None:
        super().__init__(plan, seed, cuts=cuts)
        self._admits = admits
        self._returns = returns
        self._rng = random.Random(seed)
        self.turns = Turns()
        self.free_ms = {}
        self._load = {}
        self._load_ms = -SUMMARY_INTERVAL_MS
        self.refusals = []
        self.accepted_ms = {}
        self._tries = collections.Counter()

    def _tick(self) -> None:
        super()._tick()
        waiting = {
            live.queue.service
            for live in self.scheduler.live_by_id.values()
            if not live.has_long_running_step and live.has_waiting
        }
        for number in range(len(self.plan.pools)):
            if f"pool-{number}" not in waiting:
                self.free_ms.setdefault(number, []).append(self._now_ms)

    def had_room(self, arrival: BurstArrival) -> bool:
        """Tell whether the pool had nothing waiting while the caller could be served.

        Had it been accepted, it would have ended within three times its objective.
        """
        begin_ms = self.plan.lead_ms + arrival.at_ms
        path_ms = sum(max(row) for row in arrival.durations_ms)
        limit_ms = WORTHLESS_AFTER_OBJECTIVES * self.objective_ms(arrival)
        free_ms = self.free_ms.get(arrival.queue, [])
        position = bisect.bisect_left(free_ms, begin_ms)
        return position < len(free_ms) and (
            free_ms[position] + path_ms <= begin_ms + limit_ms
        )

    def _read_load(self):
        if self._now_ms - self._load_ms >= SUMMARY_INTERVAL_MS:
            self._load_ms = self._now_ms
            machines = count_expected_machines(
                self._pool_state, self._machines.values()
            )
            self._load = compute_load_by_service(
                self.scheduler, machines, self._now_ms, self._unix_ms
            )
        return self._load

    def _submit(self, arrival: BurstArrival) -> None:
        if not self._admits:
            super()._submit(arrival)
            return
        key = arrival.submission.id
        queue = build_queue(self.plan, arrival.queue)
        load = self._read_load().get(queue.service)
        verdict = decide_admission(
            load,
            self._now_ms - self._load_ms,
            arrival.submission,
            queue,
            self.scheduler.configuration,
            False,
            self.turns,
            self._now_ms,
        )
        self._tries[key] += 1
        if not verdict.is_refused:
            self.turns.end(key)
            self.accepted_ms[key] = self._now_ms
            super()._submit(arrival)  # accepted_ms is that of the first attempt
            return
        self.refusals.append((self._now_ms, key, verdict))
        if self._returns and self._tries[key] <= MAX_RETRIES:
            delay_ms = round(1_000 * verdict.retry_after_s * self._returns)
            delay_ms += self._rng.randrange(1, RETURN_JITTER_MS)
            self._after(delay_ms, lambda: self._submit(arrival))

    def took_objectives(self, arrival: BurstArrival) -> float:
        """Time from the first attempt to the end, as a multiple of the objective."""
        ended_ms = self.ended_ms.get(arrival.submission.id)
        if ended_ms is None:
            return float("inf")
        took_ms = ended_ms - self.plan.lead_ms - arrival.at_ms
        return took_ms / self.objective_ms(arrival)

    def count(self) -> Outcomes:
        """Count what callers got."""
        outcomes = Outcomes(arrivals=len(self.arrivals))
        refused = {key for _, key, _ in self.refusals}
        for arrival in self.arrivals:
            key = arrival.submission.id
            took = self.took_objectives(arrival)
            outcomes.in_time += took <= 1
            outcomes.late += 1 < took <= WORTHLESS_AFTER_OBJECTIVES
            outcomes.worthless += took > WORTHLESS_AFTER_OBJECTIVES
            if key in refused:
                outcomes.refused += 1
                outcomes.served_later += key in self.ended_ms
                outcomes.lost += key not in self.accepted_ms
        return outcomes
