"""Table of workers with their load, health, ejection and start tokens."""

import functools
import heapq
import itertools
import math
import random
import typing as t

from cranberrywheel.process.worker_health import (
    AttemptStats,
    is_slow_run,
    is_unhealthy,
    typical_run_ms,
)
from cranberrywheel.process.worker_state import (
    FIRST_BACKOFF_MS,
    AttemptVerdict,
    PoolState,
    WorkerRow,
    WorkerState,
)
from cranberrywheel.request.routing import choose_worker

__all__ = ["AttemptVerdict", "WorkerRow", "WorkerTable"]

MAX_PENALTY_MS = 10_000
#: A worker that refused a start is probably full, so the slot counts as used for
#: this long.
REFUSAL_PENALTY_MS = 100
Names = t.Collection[str]


def _relative_load(
    excluded: Names, avoided_racks: Names, worker: WorkerState, _now_ms: int
) -> float | None:
    """Return the used fraction of a worker's slots, or ``None`` if it is excluded."""
    row = worker.row
    if row.name in excluded or row.rack in avoided_racks:
        return None
    return worker.count_used_slots() / row.slots


class WorkerTable:
    """Chooses workers and records the results of attempts; owned by the dispatcher.

    Each request costs at most O(log n) for n workers: candidates are kept in sampling
    lists, and scheduled changes in heaps.

    :param zone: availability zone of this process, whose workers are preferred.
    :param rng: source of the random samples.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._workers_by_name: dict[str, WorkerState] = {}
        self._pools_by_name: dict[str, PoolState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._peer_loads_by_process: dict[str, dict[str, int]] = {}
        self._sequence = itertools.count()
        self._penalty_end_heap: list[tuple[int, int, WorkerState]] = []
        self._probe_time_heap: list[tuple[int, int, WorkerState]] = []

    def set_workers(self, rows: t.Iterable[WorkerRow]) -> None:
        """Replace the list of workers.

        A worker that changed its pool, zone or address loses its health statistics.
        One that is no longer listed is kept until the tasks of this process on it end.

        :param rows: all workers that are known now.
        """
        rows_by_name = {row.name: row for row in rows}
        for name in [
            name for name in self._workers_by_name if name not in rows_by_name
        ]:
            worker = self._workers_by_name[name]
            worker.listed = False
            self._clear_health(worker)
            self._update_lists(worker)
            self._remove_if_unused(worker)
        for name, row in rows_by_name.items():
            worker = self._workers_by_name.get(name)
            if worker is None:
                worker = self._workers_by_name[name] = WorkerState(row)
                worker.peer_in_flight = sum(
                    loads.get(name, 0) for loads in self._peer_loads_by_process.values()
                )
            elif worker.row.identity != row.identity:
                worker.listed = False
                self._clear_health(worker)
                self._update_lists(worker)
                worker.token = ""
            worker.row = row
            worker.listed = True
            worker.leaving = name in self._leaving
            self._update_lists(worker)

    def set_leaving(self, names: Names) -> None:
        """Replace the set of workers that get no new requests.

        :param names: workers that the instance list or a peer reports as leaving.
        """
        changed = self._leaving.symmetric_difference(names)
        self._leaving = frozenset(names)
        for name in sorted(changed):
            if worker := self._workers_by_name.get(name):
                worker.leaving = name in self._leaving
                self._update_lists(worker)

    def set_peer_load(
        self, process_id: str, in_flight_by_worker: t.Mapping[str, int]
    ) -> None:
        """Replace the numbers of tasks that one peer has in flight.

        :param process_id: process id of the peer.
        :param in_flight_by_worker: tasks by worker; workers without an entry have none.
        """
        old = self._peer_loads_by_process.get(process_id, {})
        new = dict(in_flight_by_worker)
        self._peer_loads_by_process[process_id] = new
        for name in old | new:
            change = new.get(name, 0) - old.get(name, 0)
            if change and (worker := self._workers_by_name.get(name)):
                worker.peer_in_flight += change
                self._update_lists(worker)

    def drop_peer(self, process_id: str) -> None:
        """Remove the load of a peer that is gone."""
        self.set_peer_load(process_id, {})
        del self._peer_loads_by_process[process_id]

    def set_ejection_limit(self, pool: str, max_ejected: int) -> None:
        """Set how many workers of a pool may be ejected at once.

        When the limit is lowered, workers above it are reinstated in the order of
        their ejection. The limit is 0 until it is set.

        :param pool: pool name.
        :param max_ejected: number of workers that the availability budget allows.
        """
        state = self._pool(pool)
        state.max_ejected = max(0, max_ejected)
        while len(state.ejected) > state.max_ejected:
            self._reinstate(next(iter(state.ejected)))

    def choose(
        self,
        pool: str,
        now_ms: int,
        excluded: Names = (),
        avoided_racks: Names = (),
        may_probe: bool = True,
    ) -> WorkerRow | None:
        """Choose the worker for one attempt.

        :param pool: pool name.
        :param now_ms: reading of the local clock in milliseconds.
        :param excluded: workers that must not be chosen.
        :param avoided_racks: racks to use only if no other has a free slot.
        :param may_probe: whether an ejected worker whose backoff has ended may be
            probed with this request. Pass false if the request cannot be retried,
            because the probe of a dead worker fails. Attempts with excluded workers
            are retries and are never used as probes.
        :returns: a worker that has a free slot as far as known, or ``None``.
        """
        self._apply_due_changes(now_ms)
        state = self._pools_by_name.get(pool)
        if state is None:
            return None
        if state.probe_candidates and may_probe and not excluded:
            probe_target = state.probe_candidates[0]
            # Return it only once per backoff, because the attempt may fail to start.
            self._schedule_probe(probe_target, now_ms + FIRST_BACKOFF_MS)
            return probe_target.row

        for racks in (avoided_racks, ()) if avoided_racks else ((),):
            load_of = functools.partial(_relative_load, excluded, racks)
            groups = (state.same_zone, state.other_zones)
            if chosen := choose_worker(groups, load_of, self._rng, now_ms):
                return chosen.row
        return None

    def has_capacity(self, pool: str, now_ms: int) -> bool:
        """Tell whether :meth:`choose` would find a worker for a first attempt.

        :param pool: pool name.
        :param now_ms: reading of the local clock in milliseconds.
        """
        self._apply_due_changes(now_ms)
        state = self._pools_by_name.get(pool)
        return state is not None and bool(
            state.same_zone or state.other_zones or state.probe_candidates
        )

    def record_start(self, worker: str, now_ms: int) -> None:
        """Count an attempt that is being sent.

        :param worker: name of a worker that :meth:`choose` returned.
        :param now_ms: reading of the local clock in milliseconds.
        """
        if found := self._workers_by_name.get(worker):
            found.own_in_flight += 1
            if found.ejected_until_ms is not None:
                found.probing = True
            self._update_lists(found)

    def record_end(
        self,
        worker: str,
        verdict: AttemptVerdict,
        duration_ms: int,
        now_ms: int,
        expected_ms: float | None = None,
    ) -> None:
        """Record the result of an attempt and free its slot.

        :param worker: the name given to :meth:`record_start`.
        :param verdict: how the attempt ended.
        :param duration_ms: time since it was sent, in milliseconds.
        :param now_ms: reading of the local clock in milliseconds.
        :param expected_ms: expected run time of its queue in milliseconds. Without it,
            a worker with long requests looks slow in a pool whose queues have
            different run times.
        """
        found = self._workers_by_name.get(worker)
        if found is None:
            return
        found.own_in_flight = max(0, found.own_in_flight - 1)
        pool = self._pool(found.row.pool)
        found.stats.decay(now_ms)
        pool.stats.decay(now_ms)
        if found.listed:
            self._record_result(found, pool, verdict, duration_ms, expected_ms, now_ms)
        self._update_lists(found)
        self._remove_if_unused(found)

    def retract_failures(self, workers: t.Iterable[str], now_ms: int) -> None:
        """Remove one failure from each worker, because the request was the cause.

        :param workers: workers on which the request failed.
        :param now_ms: reading of the local clock in milliseconds.
        """
        for name in workers:
            if not (worker := self._workers_by_name.get(name)):
                continue
            pool = self._pool(worker.row.pool)
            for stats in (worker.stats, pool.stats):
                stats.decay(now_ms)
                stats.remove_failure()
            others = pool.stats.minus(worker.stats)
            if worker.ejected_until_ms is not None:
                if not is_unhealthy(worker.stats, others):
                    self._reinstate(worker)

    def set_token(self, worker: str, token: str, asked_ms: int) -> None:
        """Store a start token, unless a newer one is stored.

        :param worker: name of the worker that issued the token.
        :param token: the token, an opaque string.
        :param asked_ms: reading of the local clock, in milliseconds, before the token
            was requested.
        """
        found = self._workers_by_name.get(worker)
        if found and (not found.token or asked_ms >= found.token_asked_ms):
            found.token, found.token_asked_ms = token, asked_ms

    def get_token(self, worker: str, now_ms: int) -> str | None:
        """Return a start token that the worker should still accept.

        :param worker: worker name.
        :param now_ms: reading of the local clock in milliseconds.
        :returns: the token, or ``None`` if there is none or it is too old.
        """
        found = self._workers_by_name.get(worker)
        return found.usable_token(now_ms) if found else None

    def in_flight_by_worker(self) -> dict[str, int]:
        """Return the number of tasks of this process by worker, without zeros."""
        return {
            name: worker.own_in_flight
            for name, worker in self._workers_by_name.items()
            if worker.own_in_flight
        }

    def list_ejected(self, pool: str) -> list[str]:
        """Return the names of the ejected workers of a pool."""
        return [worker.row.name for worker in self._pool(pool).ejected]

    def _pool(self, name: str) -> PoolState:
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = self._pools_by_name[name] = PoolState()
        return pool

    def _update_lists(self, worker: WorkerState) -> None:
        """Update the sampling lists that a worker is in after its state changed."""
        pool = self._pool(worker.row.pool)
        has_capacity = worker.has_capacity()
        group = pool.same_zone if worker.row.zone == self._zone else pool.other_zones
        if has_capacity and worker.ejected_until_ms is None:
            group.add(worker)
        else:
            group.discard(worker)
        if worker.ejected_until_ms is None or worker.probing:
            pool.probe_candidates.discard(worker)
        elif worker in pool.probe_candidates and not has_capacity:
            self._schedule_probe(worker, worker.ejected_until_ms + FIRST_BACKOFF_MS)

    def _remove_if_unused(self, worker: WorkerState) -> None:
        if not worker.listed and not worker.own_in_flight:
            self._workers_by_name.pop(worker.row.name, None)

    def _apply_due_changes(self, now_ms: int) -> None:
        """End the penalties and backoffs whose time has passed."""
        while self._penalty_end_heap and self._penalty_end_heap[0][0] <= now_ms:
            _, _, worker = heapq.heappop(self._penalty_end_heap)
            worker.penalties -= 1
            self._update_lists(worker)
        while self._probe_time_heap and self._probe_time_heap[0][0] <= now_ms:
            due_ms, _, worker = heapq.heappop(self._probe_time_heap)
            if worker.ejected_until_ms != due_ms or worker.probing:
                continue
            if worker.has_capacity():
                self._pool(worker.row.pool).probe_candidates.add(worker)
            else:
                self._schedule_probe(worker, now_ms + FIRST_BACKOFF_MS)

    def _record_result(
        self,
        worker: WorkerState,
        pool: PoolState,
        verdict: AttemptVerdict,
        duration_ms: int,
        expected_ms: float | None,
        now_ms: int,
    ) -> None:
        others = pool.stats.minus(worker.stats)
        failed = verdict.is_failure
        log_duration = math.log(max(1, duration_ms) / (expected_ms or 1))
        mean = others.mean_log()
        # A cancelled attempt would have run at least this long. It is counted if it
        # was longer than the mean, because callers cancel most requests on a slow
        # worker, which may never complete one.
        long_cancelled = (
            verdict is AttemptVerdict.CANCELLED
            and mean is not None
            and log_duration > mean
        )
        for stats in (worker.stats, pool.stats):
            if failed or verdict is AttemptVerdict.OK:
                stats.add_outcome(failed)
            if verdict is AttemptVerdict.OK or long_cancelled:
                stats.add_duration(log_duration)
        if failed:
            remaining_ms = (
                typical_run_ms(worker.stats, pool.stats, expected_ms) - duration_ms
            )
            self._penalize(worker, remaining_ms, now_ms)
        elif verdict is AttemptVerdict.REFUSED:
            self._penalize(worker, REFUSAL_PENALTY_MS, now_ms)
        if worker.probing:
            self._handle_probe_result(
                worker, verdict, is_slow_run(log_duration, others), now_ms
            )
        elif worker.ejected_until_ms is None and is_unhealthy(worker.stats, others):
            if len(pool.ejected) < pool.max_ejected:
                self._eject(worker, now_ms)

    def _handle_probe_result(
        self, worker: WorkerState, verdict: AttemptVerdict, slow: bool, now_ms: int
    ) -> None:
        if slow or verdict.is_failure:
            self._eject(worker, now_ms)
        elif verdict is AttemptVerdict.OK:
            worker.reinstated_ms = now_ms
            self._reinstate(worker)
        else:
            worker.probing = False
            self._schedule_probe(worker, now_ms + FIRST_BACKOFF_MS)

    def _penalize(self, worker: WorkerState, duration_ms: float, now_ms: int) -> None:
        """Count a slot as used for a while after an attempt ended early.

        :param duration_ms: how long, in milliseconds, up to ``MAX_PENALTY_MS``.
        """
        if duration_ms > 0:
            end_ms = now_ms + math.ceil(min(duration_ms, MAX_PENALTY_MS))
            worker.penalties += 1
            heapq.heappush(
                self._penalty_end_heap, (end_ms, next(self._sequence), worker)
            )

    def _eject(self, worker: WorkerState, now_ms: int) -> None:
        probe_ms = now_ms + worker.next_backoff_ms(now_ms)
        worker.probing = False
        self._pool(worker.row.pool).ejected[worker] = None
        self._schedule_probe(worker, probe_ms)
        self._update_lists(worker)

    def _schedule_probe(self, worker: WorkerState, at_ms: int) -> None:
        worker.ejected_until_ms = at_ms
        self._pool(worker.row.pool).probe_candidates.discard(worker)
        heapq.heappush(self._probe_time_heap, (at_ms, next(self._sequence), worker))

    def _reinstate(self, worker: WorkerState) -> None:
        self._clear_health(worker)
        self._update_lists(worker)

    def _clear_health(self, worker: WorkerState) -> None:
        pool = self._pool(worker.row.pool)
        pool.ejected.pop(worker, None)
        pool.stats.decay(worker.stats.at_ms)
        worker.stats.decay(pool.stats.at_ms)
        pool.stats = pool.stats.minus(worker.stats)
        worker.stats = AttemptStats(at_ms=pool.stats.at_ms)
        worker.ejected_until_ms = None
        worker.probing = False
