"""Simulated fleet of a fortnight, advanced between two plan steps."""

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

#: Drain time of an instance without a batch job.
SHORT_DRAIN_MS = 60_000


class SimulatedFleet:
    """Assignments, health and batch jobs of all instances.

    The planner sees the health of the previous step, like that of an instance list
    that lags behind.
    """

    def __init__(self, configuration: Configuration, schedule: FaultSchedule) -> None:
        self.configuration = configuration
        self._schedule = schedule
        workers = configuration.workers_by_name.values()
        self.assignments_by_name = {
            worker.name: InstanceAssignment(pool=worker.pool) for worker in workers
        }
        self.maintained_ms_by_name = dict.fromkeys(self.assignments_by_name, 0)
        self._down_until_ms: dict[str, int] = {}
        self._job_ends_ms: dict[str, int] = {}
        self._failing: set[str] = set()
        self._reported_down: frozenset[str] = frozenset()
        self._next_outage = self._next_job = self._next_failing = 0
        self.moves = 0

    def apply_faults(self, now_ms: int) -> None:
        """Apply the faults and start the batch jobs that are scheduled up to now."""
        self._reported_down = frozenset(
            name for name, end_ms in self._down_until_ms.items() if end_ms > now_ms
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
            serving = self.assignments_by_name[name].state is InstanceState.SERVING
            if serving and not self.is_down(name, now_ms):
                self._job_ends_ms[name] = jobs[i].end_ms
            self._next_job += 1
        while (i := self._next_failing) < len(failing) and failing[i][0] <= now_ms:
            self._failing.add(failing[i][1])
            self._next_failing += 1

    def is_down(self, name: str, now_ms: int) -> bool:
        """Return whether an instance is in an outage."""
        return self._down_until_ms.get(name, 0) > now_ms

    def is_failing(self, name: str) -> bool:
        """Return whether an instance fails every task that it starts."""
        return name in self._failing

    def _build_report(self, name: str, now_ms: int) -> WorkerReport:
        job_remaining_ms = max(0, self._job_ends_ms.get(name, 0) - now_ms)
        return WorkerReport(
            running=1 if job_remaining_ms else 0,
            drain_ms=job_remaining_ms or SHORT_DRAIN_MS,
            fails_everything=name in self._failing,
        )

    def build_fleet_view(self, now_ms: int) -> Fleet:
        """Return the fleet as the planner sees it."""
        instances = {}
        for name, assignment in self.assignments_by_name.items():
            worker = self.configuration.workers_by_name[name]
            # An instance that was never maintained is due, as after the first start.
            maintained_ms = self.maintained_ms_by_name[name]
            instances[name] = FleetInstance(
                name=name,
                zone=worker.zone,
                rack=worker.rack,
                assignment=assignment,
                live=name not in self._reported_down,
                maintained_ms=maintained_ms + _EPOCH_MS if maintained_ms else 0,
                report=self._build_report(name, now_ms),
            )
        return Fleet(now_ms=now_ms + _EPOCH_MS, instances_by_name=instances)

    def has_work(self, now_ms: int) -> bool:
        """Return whether a plan step could start or complete maintenance."""
        due_ms = DUE_FRACTION * self.configuration.maintenance_period_hours * 3_600_000
        oldest_ms = min(self.maintained_ms_by_name.values())
        return (
            not oldest_ms
            or now_ms - oldest_ms >= due_ms
            or bool(self._failing)
            or any(
                assignment.state is not InstanceState.SERVING
                for assignment in self.assignments_by_name.values()
            )
        )

    def apply_plan(self, plan: Plan, now_ms: int) -> None:
        """Apply the state changes that a plan starts."""
        assignments = self.assignments_by_name
        for name in plan.recall:
            assignments[name] = instance_lifecycle.recall(assignments[name], now_ms)
        for name in plan.repair:
            assignments[name] = instance_lifecycle.begin_repair(
                assignments[name], now_ms
            )
        for name in plan.quarantine:
            assignments[name] = instance_lifecycle.quarantine(assignments[name], now_ms)
        for name, target in plan.take.items():
            assignments[name] = instance_lifecycle.begin_drain(
                assignments[name], target, now_ms
            )

    def advance_instances(self, now_ms: int) -> None:
        """Advance the instances that are not serving to their next state."""
        reboot_ms = self.configuration.reboot_minutes * 60_000
        in_bad_wave = any(
            start_ms <= now_ms < end_ms for start_ms, end_ms in self._schedule.bad_waves
        )
        for name, assignment in list(self.assignments_by_name.items()):
            if (
                assignment.state is InstanceState.SERVING
                or assignment.since_ms == now_ms
            ):
                continue
            rebooted = now_ms - assignment.since_ms >= reboot_ms and not in_bad_wave
            report = self._build_report(name, now_ms)
            if self.is_down(name, now_ms):
                report = dataclasses.replace(report, reachable=False)
            maintained_ms = self.maintained_ms_by_name[name]
            due = not maintained_ms or is_maintenance_due(
                self.configuration, maintained_ms, now_ms
            )
            next_assignment = instance_lifecycle.advance(
                assignment, report, rebooted, due, now_ms
            )
            if next_assignment is None:
                continue
            self.assignments_by_name[name] = next_assignment
            if assignment.state is InstanceState.REBOOTING:
                self.maintained_ms_by_name[name] = now_ms
                self._failing.discard(name)
            if next_assignment.pool != assignment.pool:
                self.moves += 1


#: Added to the simulated time so that 0 can mean "never maintained" in the fleet model.
_EPOCH_MS = 1_800_000_000_000
