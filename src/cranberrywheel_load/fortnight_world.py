"""State of the fleet between two plan steps of a fortnight."""

import dataclasses

from cranberrywheel.process import instance_lifecycle
from cranberrywheel.process.fleet_model import (
    Fleet,
    FleetInstance,
    InstanceAssignment,
    InstanceState,
    Plan,
    WorkerReport,
)
from cranberrywheel.process.waves import DUE_FRACTION, is_maintenance_due
from cranberrywheel.version.configuration import Configuration
from cranberrywheel_load.fortnight_faults import FaultSchedule

#: Short work that a drain waits for.
SHORT_DRAIN_MS = 60_000


class World:
    """Rows, health and running work of all instances.

    The planner sees the health of the step before, as with a lagging list.
    """

    def __init__(self, configuration: Configuration, schedule: FaultSchedule) -> None:
        self.configuration = configuration
        self._schedule = schedule
        workers = configuration.workers_by_name.values()
        self.rows_by_name = {w.name: InstanceAssignment(pool=w.pool) for w in workers}
        self.maintained_ms_by_name = dict.fromkeys(self.rows_by_name, 0)
        self._down_until_ms: dict[str, int] = {}
        self._job_ends_ms: dict[str, int] = {}
        self._failing: set[str] = set()
        self._seen_down: frozenset[str] = frozenset()
        self._next_outage = self._next_job = self._next_failing = 0
        self.moves = 0

    def apply_faults(self, now_ms: int) -> None:
        """Bring about what is scheduled up to now."""
        self._seen_down = frozenset(
            n for n, end in self._down_until_ms.items() if end > now_ms
        )
        schedule = self._schedule
        outages, jobs, failing = schedule.outages, schedule.jobs, schedule.failing
        while (i := self._next_outage) < len(outages) and outages[i].start_ms <= now_ms:
            for name in outages[i].names:
                end_ms = max(self._down_until_ms.get(name, 0), outages[i].end_ms)
                self._down_until_ms[name] = end_ms
                self._job_ends_ms.pop(name, None)
            self._next_outage += 1
        while (i := self._next_job) < len(jobs) and jobs[i].start_ms <= now_ms:
            name = jobs[i].name
            serving = self.rows_by_name[name].state is InstanceState.SERVING
            if serving and not self.is_down(name, now_ms):
                self._job_ends_ms[name] = jobs[i].end_ms
            self._next_job += 1
        while (i := self._next_failing) < len(failing) and failing[i][0] <= now_ms:
            self._failing.add(failing[i][1])
            self._next_failing += 1

    def is_down(self, name: str, now_ms: int) -> bool:
        """Tell whether an instance failed and is not back."""
        return self._down_until_ms.get(name, 0) > now_ms

    def is_failing(self, name: str) -> bool:
        """Tell whether an instance fails everything it starts."""
        return name in self._failing

    def _report(self, name: str, now_ms: int) -> WorkerReport:
        job_ms = max(0, self._job_ends_ms.get(name, 0) - now_ms)
        return WorkerReport(
            running=1 if job_ms else 0,
            drain_ms=job_ms or SHORT_DRAIN_MS,
            fails_everything=name in self._failing,
        )

    def fleet(self, now_ms: int) -> Fleet:
        """Return what a planner sees."""
        instances = {}
        for name, row in self.rows_by_name.items():
            worker = self.configuration.workers_by_name[name]
            # A never maintained instance is due, as after the first start.
            maintained_ms = self.maintained_ms_by_name[name]
            instances[name] = FleetInstance(
                name=name,
                zone=worker.zone,
                rack=worker.rack,
                assignment=row,
                live=name not in self._seen_down,
                maintained_ms=maintained_ms + _EPOCH_MS if maintained_ms else 0,
                report=self._report(name, now_ms),
            )
        return Fleet(now_ms=now_ms + _EPOCH_MS, instances_by_name=instances)

    def has_work(self, now_ms: int) -> bool:
        """Tell whether a plan could start or finish anything."""
        due_ms = DUE_FRACTION * self.configuration.maintenance_period_hours * 3_600_000
        oldest_ms = min(self.maintained_ms_by_name.values())
        return (
            not oldest_ms
            or now_ms - oldest_ms >= due_ms
            or bool(self._failing)
            or any(
                row.state is not InstanceState.SERVING
                for row in self.rows_by_name.values()
            )
        )

    def start(self, plan: Plan, now_ms: int) -> None:
        """Apply what a plan starts."""
        rows = self.rows_by_name
        for name in plan.recall:
            rows[name] = instance_lifecycle.recall(rows[name], now_ms)
        for name in plan.repair:
            rows[name] = instance_lifecycle.begin_repair(rows[name], now_ms)
        for name in plan.quarantine:
            rows[name] = instance_lifecycle.quarantine(rows[name], now_ms)
        for name, target in plan.take.items():
            rows[name] = instance_lifecycle.begin_drain(rows[name], target, now_ms)

    def finish_steps(self, now_ms: int) -> None:
        """Advance the instances that are out."""
        reboot_ms = self.configuration.reboot_minutes * 60_000
        in_bad_wave = any(a <= now_ms < b for a, b in self._schedule.bad_waves)
        for name, row in list(self.rows_by_name.items()):
            if row.state is InstanceState.SERVING or row.since_ms == now_ms:
                continue
            rebooted = now_ms - row.since_ms >= reboot_ms and not in_bad_wave
            report = self._report(name, now_ms)
            if self.is_down(name, now_ms):
                report = dataclasses.replace(report, reachable=False)
            maintained_ms = self.maintained_ms_by_name[name]
            due = not maintained_ms or is_maintenance_due(
                self.configuration, maintained_ms, now_ms
            )
            after = instance_lifecycle.advance(row, report, rebooted, due, now_ms)
            if after is None:
                continue
            self.rows_by_name[name] = after
            if row.state is InstanceState.REBOOTING:
                self.maintained_ms_by_name[name] = now_ms
                self._failing.discard(name)
            if after.pool != row.pool:
                self.moves += 1


#: Added to the clock so that 0 can mean "never maintained" in the fleet model.
_EPOCH_MS = 1_800_000_000_000
