"""Workers with their load, health, ejection and start tokens."""

import functools
import heapq
import itertools
import math
import random
import typing as t

from cranberrywheel.process.worker_health import (
    Tally,
    is_slow_run,
    is_unhealthy,
    service_ms,
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
#: A worker that refused a start is probably full; it keeps the slot this long.
REFUSAL_PENALTY_MS = 100
Names = t.Collection[str]


def _load(
    excluded: Names, avoided_racks: Names, worker: WorkerState, _now_ms: int
) -> float | None:
    row = worker.row
    if row.name in excluded or row.rack in avoided_racks:
        return None
    return worker.load() / row.slots


class WorkerTable:
    """Owned by the dispatcher; chooses workers and learns from the attempts.

    Each request costs O(log workers) at most: candidates are kept in sampling lists
    and timed changes in heaps.

    :param zone: zone of this process, preferred in choices.
    :param rng: source of the samples.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._workers_by_name: dict[str, WorkerState] = {}
        self._pools_by_name: dict[str, PoolState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._peer_loads_by_process: dict[str, dict[str, int]] = {}
        self._sequence = itertools.count()
        self._penalty_ends: list[tuple[int, int, WorkerState]] = []
        self._probe_times: list[tuple[int, int, WorkerState]] = []

    def set_workers(self, rows: t.Iterable[WorkerRow]) -> None:
        """Replace the list of workers.

        A worker that changed its pool, zone or address loses its health record. One
        that is no longer listed is kept until its own tasks end.

        :param rows: all workers that are known now.
        """
        rows_by_name = {row.name: row for row in rows}
        for name in [n for n in self._workers_by_name if n not in rows_by_name]:
            worker = self._workers_by_name[name]
            worker.listed = False
            self._clear_health(worker)
            self._refresh(worker)
            self._forget_if_unused(worker)
        for name, row in rows_by_name.items():
            worker = self._workers_by_name.get(name)
            if worker is None:
                worker = self._workers_by_name[name] = WorkerState(row)
                worker.peer_in_flight = sum(
                    loads.get(name, 0) for loads in self._peer_loads_by_process.values()
                )
            elif worker.row.place != row.place:
                worker.listed = False
                self._clear_health(worker)
                self._refresh(worker)
                worker.token = ""
            worker.row = row
            worker.listed = True
            worker.leaving = name in self._leaving
            self._refresh(worker)

    def set_leaving(self, names: Names) -> None:
        """Replace the set of workers that get no new work.

        :param names: workers that the instance list or a peer reports as leaving.
        """
        changed = self._leaving.symmetric_difference(names)
        self._leaving = frozenset(names)
        for name in sorted(changed):
            if worker := self._workers_by_name.get(name):
                worker.leaving = name in self._leaving
                self._refresh(worker)

    def set_peer_load(
        self, process_id: str, in_flight_by_worker: t.Mapping[str, int]
    ) -> None:
        """Replace what one peer has in flight.

        :param process_id: the peer.
        :param in_flight_by_worker: tasks per worker; absent workers have none.
        """
        old = self._peer_loads_by_process.get(process_id, {})
        new = dict(in_flight_by_worker)
        self._peer_loads_by_process[process_id] = new
        for name in old | new:
            change = new.get(name, 0) - old.get(name, 0)
            if change and (worker := self._workers_by_name.get(name)):
                worker.peer_in_flight += change
                self._refresh(worker)

    def drop_peer(self, process_id: str) -> None:
        """Forget the load of a peer that is gone."""
        self.set_peer_load(process_id, {})
        del self._peer_loads_by_process[process_id]

    def set_ejection_limit(self, pool: str, most_ejected: int) -> None:
        """Set how many workers of a pool may be ejected at once.

        Workers above a lowered limit are reinstated, longest ejected first. The limit
        is 0 until it is set.

        :param pool: pool name.
        :param most_ejected: what the availability budget leaves.
        """
        state = self._pool(pool)
        state.most_ejected = max(0, most_ejected)
        while len(state.ejected) > state.most_ejected:
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
        :param now_ms: clock reading.
        :param excluded: workers that must not be chosen.
        :param avoided_racks: racks that are used only if no other has room.
        :param may_probe: whether an ejected worker whose backoff has passed may be
            probed with this request. Pass false if it cannot be retried, because
            probes of a dead worker fail. Retries are never spent on probes.
        :returns: a worker with a free slot as far as known, or ``None``.
        """
        self._advance(now_ms)
        state = self._pools_by_name.get(pool)
        if state is None:
            return None
        if state.probes and may_probe and not excluded:
            probed = state.probes[0]
            # Offered once per backoff, because the caller may fail to start it.
            self._schedule_probe(probed, now_ms + FIRST_BACKOFF_MS)
            return probed.row

        for racks in (avoided_racks, ()) if avoided_racks else ((),):
            view = functools.partial(_load, excluded, racks)
            groups = (state.near, state.far)
            if chosen := choose_worker(groups, view, self._rng, now_ms):
                return chosen.row
        return None

    def has_capacity(self, pool: str, now_ms: int) -> bool:
        """Tell whether :meth:`choose` would find a worker for a first attempt.

        :param pool: pool name.
        :param now_ms: clock reading.
        """
        self._advance(now_ms)
        state = self._pools_by_name.get(pool)
        return state is not None and bool(state.near or state.far or state.probes)

    def started(self, worker: str, now_ms: int) -> None:
        """Count an attempt that is being sent.

        :param worker: a name that :meth:`choose` returned.
        :param now_ms: clock reading.
        """
        if found := self._workers_by_name.get(worker):
            found.own_in_flight += 1
            if found.ejected_until_ms is not None:
                found.probing = True
            self._refresh(found)

    def finished(
        self,
        worker: str,
        verdict: AttemptVerdict,
        duration_ms: int,
        now_ms: int,
        expected_ms: float | None = None,
    ) -> None:
        """Learn from an attempt and free its slot.

        :param worker: the name given to :meth:`started`.
        :param verdict: how the attempt ended.
        :param duration_ms: time since it was sent.
        :param now_ms: clock reading.
        :param expected_ms: run time expected of its queue. Without it, long requests
            make their worker look slow in a pool whose queues differ.
        """
        found = self._workers_by_name.get(worker)
        if found is None:
            return
        found.own_in_flight = max(0, found.own_in_flight - 1)
        pool = self._pool(found.row.pool)
        found.tally.decay(now_ms)
        pool.tally.decay(now_ms)
        if found.listed:
            self._record(found, pool, verdict, duration_ms, expected_ms, now_ms)
        self._refresh(found)
        self._forget_if_unused(found)

    def retract_failures(self, workers: t.Iterable[str], now_ms: int) -> None:
        """Take back one failure of each worker, because the request was the cause.

        :param workers: workers on which the request failed.
        :param now_ms: clock reading.
        """
        for name in workers:
            if not (worker := self._workers_by_name.get(name)):
                continue
            pool = self._pool(worker.row.pool)
            for tally in (worker.tally, pool.tally):
                tally.decay(now_ms)
                tally.remove_failure()
            rest = pool.tally.minus(worker.tally)
            if worker.ejected_until_ms is not None:
                if not is_unhealthy(worker.tally, rest):
                    self._reinstate(worker)

    def set_token(self, worker: str, token: str, asked_ms: int) -> None:
        """Keep a start token.

        :param worker: the worker that issued it.
        :param token: opaque text.
        :param asked_ms: own clock reading before the token was asked for.
        """
        found = self._workers_by_name.get(worker)
        if found and (not found.token or asked_ms >= found.token_asked_ms):
            found.token, found.token_asked_ms = token, asked_ms

    def token(self, worker: str, now_ms: int) -> str | None:
        """Return a start token that the worker will still accept.

        :param worker: worker name.
        :param now_ms: clock reading.
        :returns: the token, or ``None`` if it is missing or too old to use.
        """
        found = self._workers_by_name.get(worker)
        return found.fresh_token(now_ms) if found else None

    def in_flight_by_worker(self) -> dict[str, int]:
        """Return this process's tasks on each worker that has any."""
        return {
            name: worker.own_in_flight
            for name, worker in self._workers_by_name.items()
            if worker.own_in_flight
        }

    def ejected(self, pool: str) -> list[str]:
        """Return the names of the ejected workers of a pool."""
        return [worker.row.name for worker in self._pool(pool).ejected]

    def _pool(self, name: str) -> PoolState:
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = self._pools_by_name[name] = PoolState()
        return pool

    def _refresh(self, worker: WorkerState) -> None:
        """Put a worker into the lists that its state allows."""
        pool = self._pool(worker.row.pool)
        has_capacity = worker.has_capacity()
        group = pool.near if worker.row.zone == self._zone else pool.far
        if has_capacity and worker.ejected_until_ms is None:
            group.add(worker)
        else:
            group.discard(worker)
        if worker.ejected_until_ms is None or worker.probing:
            pool.probes.discard(worker)
        elif worker in pool.probes and not has_capacity:
            self._schedule_probe(worker, worker.ejected_until_ms + FIRST_BACKOFF_MS)

    def _forget_if_unused(self, worker: WorkerState) -> None:
        if not worker.listed and not worker.own_in_flight:
            self._workers_by_name.pop(worker.row.name, None)

    def _advance(self, now_ms: int) -> None:
        """Apply the timed changes that are due."""
        while self._penalty_ends and self._penalty_ends[0][0] <= now_ms:
            _, _, worker = heapq.heappop(self._penalty_ends)
            worker.penalties -= 1
            self._refresh(worker)
        while self._probe_times and self._probe_times[0][0] <= now_ms:
            due_ms, _, worker = heapq.heappop(self._probe_times)
            if worker.ejected_until_ms != due_ms or worker.probing:
                continue
            if worker.has_capacity():
                self._pool(worker.row.pool).probes.add(worker)
            else:
                self._schedule_probe(worker, now_ms + FIRST_BACKOFF_MS)

    def _record(
        self,
        worker: WorkerState,
        pool: PoolState,
        verdict: AttemptVerdict,
        duration_ms: int,
        expected_ms: float | None,
        now_ms: int,
    ) -> None:
        rest = pool.tally.minus(worker.tally)
        failed = verdict.is_failure
        log_duration = math.log(max(1, duration_ms) / (expected_ms or 1))
        mean = rest.mean_log()
        # A cancelled attempt would have run at least this long. Callers cancel most
        # requests, so a slow worker may never complete one.
        long_cancelled = (
            verdict is AttemptVerdict.CANCELLED
            and mean is not None
            and log_duration > mean
        )
        for tally in (worker.tally, pool.tally):
            if failed or verdict is AttemptVerdict.OK:
                tally.add_outcome(failed)
            if verdict is AttemptVerdict.OK or long_cancelled:
                tally.add_duration(log_duration)
        if failed:
            left_ms = service_ms(worker.tally, pool.tally, expected_ms) - duration_ms
            self._penalize(worker, left_ms, now_ms)
        elif verdict is AttemptVerdict.REFUSED:
            self._penalize(worker, REFUSAL_PENALTY_MS, now_ms)
        if worker.probing:
            self._judge_probe(worker, verdict, is_slow_run(log_duration, rest), now_ms)
        elif worker.ejected_until_ms is None and is_unhealthy(worker.tally, rest):
            if len(pool.ejected) < pool.most_ejected:
                self._eject(worker, now_ms)

    def _judge_probe(
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
        """Count a slot as used for some time after an attempt ended early."""
        if duration_ms > 0:
            end_ms = now_ms + math.ceil(min(duration_ms, MAX_PENALTY_MS))
            worker.penalties += 1
            heapq.heappush(self._penalty_ends, (end_ms, next(self._sequence), worker))

    def _eject(self, worker: WorkerState, now_ms: int) -> None:
        probe_ms = now_ms + worker.next_backoff_ms(now_ms)
        worker.probing = False
        self._pool(worker.row.pool).ejected[worker] = None
        self._schedule_probe(worker, probe_ms)
        self._refresh(worker)

    def _schedule_probe(self, worker: WorkerState, at_ms: int) -> None:
        worker.ejected_until_ms = at_ms
        self._pool(worker.row.pool).probes.discard(worker)
        heapq.heappush(self._probe_times, (at_ms, next(self._sequence), worker))

    def _reinstate(self, worker: WorkerState) -> None:
        self._clear_health(worker)
        self._refresh(worker)

    def _clear_health(self, worker: WorkerState) -> None:
        pool = self._pool(worker.row.pool)
        pool.ejected.pop(worker, None)
        pool.tally.decay(worker.tally.at_ms)
        worker.tally.decay(pool.tally.at_ms)
        pool.tally = pool.tally.minus(worker.tally)
        worker.tally = Tally(at_ms=pool.tally.at_ms)
        worker.ejected_until_ms = None
        worker.probing = False
