"""Planning of one round: instances to drain, quarantine, repair, recall or drop."""

import collections
import dataclasses
import typing as t

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.process.budget import (
    AvailabilityBudgets,
    is_healthy,
    is_stabilizing,
)
from cranberrywheel.process.capacity import build_problem
from cranberrywheel.process.fleet_model import (
    Fleet,
    FleetInstance,
    InstanceState,
    Plan,
    Sizing,
    build_fleet,
    find_dependency_pools,
    parse_zone_pools,
)
from cranberrywheel.process.instance_lifecycle import choose_transfers
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.version.configuration import Configuration

#: Maintenance of an instance is due after this fraction of the period. The rest of
#: the period absorbs overnight jobs and interrupted waves.
DUE_FRACTION = 0.75
#: After this fraction of the period, running tasks no longer postpone a drain.
OVERDUE_FRACTION = 0.9
#: An instance whose tasks need longer than this to drain is postponed.
LONG_DRAIN_MS = 15 * 60_000
#: A worker that fails again within this time after its repair stays quarantined.
REPAIR_INTERVAL_MS = 6 * 3_600_000


def _period_ms(configuration: Configuration) -> int:
    return configuration.maintenance_period_hours * 3_600_000


def is_maintenance_due(
    configuration: Configuration, maintained_ms: int, now_ms: int
) -> bool:
    """Tell whether maintenance of an instance is due.

    :param maintained_ms: end of its last maintenance, or 0.
    """
    age_ms = now_ms - maintained_ms
    return age_ms >= DUE_FRACTION * _period_ms(configuration)


def _is_overdue(
    configuration: Configuration, instance: FleetInstance, now_ms: int
) -> bool:
    # Without a recorded maintenance there is no known due date.
    if not instance.maintained_ms:
        return False
    age_ms = now_ms - instance.maintained_ms
    return age_ms >= OVERDUE_FRACTION * _period_ms(configuration)


def _explain_unhealthy(instance: FleetInstance) -> str:
    if not instance.live:
        return "not live in the instance list"
    if not instance.report.reachable:
        return "does not answer"
    return f"already {instance.assignment.state}"


class _PlanningRound:
    """State of one planning round.

    ``available`` are the instances that may still be taken out of service, ``waits``
    the reasons by name why others must wait.

    :param zone: zone whose instances are planned, or ``""`` for all zones.
    """

    def __init__(
        self, configuration: Configuration, fleet: Fleet, sizing: Sizing, zone: str
    ) -> None:
        self.configuration = configuration
        self.zone_instances = [
            instance
            for instance in fleet.instances_by_name.values()
            if not zone or instance.zone == zone
        ]
        self.fleet = fleet
        self.sizing = sizing
        out = {name for names in fleet.out_by_service.values() for name in names}
        self.budgets = AvailabilityBudgets(configuration, fleet, out)
        self.out_by_pool: collections.Counter[str] = collections.Counter()
        self.members_by_pool = collections.Counter(
            instance.pool for instance in fleet.instances_by_name.values()
        )
        for instance in fleet.instances_by_name.values():
            out_on_purpose = instance.name in out or instance.assignment.state not in (
                InstanceState.SERVING,
                InstanceState.QUARANTINED,
            )
            if out_on_purpose or is_stabilizing(instance, fleet.now_ms):
                self.out_by_pool[instance.pool] += 1
        self.available = [
            instance
            for instance in self.zone_instances
            if is_healthy(instance)
            and instance.name not in out
            and not is_stabilizing(instance, fleet.now_ms)
            and instance.pool in configuration.pools_by_name
        ]
        self.waits: dict[str, str] = {}

    def choose_recalls(self) -> tuple[str, ...]:
        """Choose drained instances to return because a failure broke their budget."""
        names = []
        for instance in self.zone_instances:
            drained = instance.assignment.state in (
                InstanceState.DRAINING,
                InstanceState.EMPTY,
            )
            if (
                drained
                and instance.live
                and instance.report.reachable
                and instance.pool in self.configuration.pools_by_name
                and self.budgets.shortfall(instance.pool)
            ):
                names.append(instance.name)
                self.budgets.return_to_service(instance)
                self.out_by_pool[instance.pool] -= 1
        return tuple(names)

    def choose_quarantines(self) -> tuple[str, ...]:
        """Choose workers whose recent tasks all failed, within each pool's budget."""
        failing = [
            instance for instance in self.available if instance.report.fails_everything
        ]
        refused = {}
        for instance in failing:
            if reason := self.budgets.try_take_out(instance):
                refused[instance.name] = (
                    f"all recent tasks failed, not quarantined: {reason}"
                )
        # Workers that could not be quarantined do no useful work either, so the
        # budget for maintenance must not include them.
        for instance in failing:
            if instance.name in refused:
                self.budgets.mark_out(instance)
        self.waits.update(refused)
        names = [instance.name for instance in failing if instance.name not in refused]
        self.available = [
            instance
            for instance in self.available
            if not instance.report.fails_everything
        ]
        return tuple(names)

    def choose_repairs(self) -> tuple[str, ...]:
        """Choose quarantined instances to reboot; they need no budget."""
        names = []
        for instance in self.zone_instances:
            if instance.assignment.state is not InstanceState.QUARANTINED:
                continue
            if self.fleet.now_ms - instance.maintained_ms < REPAIR_INTERVAL_MS:
                self.waits[instance.name] = (
                    "failed again soon after its repair; replace it"
                )
            elif not instance.live:
                self.waits[instance.name] = _explain_unhealthy(instance)
            elif self._may_run_tasks(instance):
                self.waits[instance.name] = "quarantined, tasks may still run"
            else:
                names.append(instance.name)
        return tuple(names)

    def _may_run_tasks(self, instance: FleetInstance) -> bool:
        """Tell whether tasks may still run on an instance.

        Tasks of an unreachable worker end at their deadline at the latest.
        """
        if instance.report.reachable:
            return instance.report.running > 0
        longest_ms = max(
            (queue.timeout_ms for queue in self.configuration.queues_by_name.values()),
            default=0,
        )
        return self.fleet.now_ms - instance.assignment.since_ms < longest_ms

    def choose_removed(self) -> dict[str, str]:
        """Choose workers to drain because the configuration no longer lists them."""
        taken = {}
        declared = self.configuration.workers_by_name
        for instance in [
            instance for instance in self.available if instance.name not in declared
        ]:
            if reason := self._try_take_out(instance):
                self.waits[instance.name] = f"removed from the configuration: {reason}"
            else:
                taken[instance.name] = ""
        self.available = [
            instance for instance in self.available if instance.name in declared
        ]
        return taken

    def choose_drops(self) -> tuple[str, ...]:
        """Choose instances to drop: not in the configuration, and empty or not live."""
        declared = self.configuration.workers_by_name
        return tuple(
            instance.name
            for instance in self.zone_instances
            if instance.name not in declared
            and (not instance.live or instance.assignment.state is InstanceState.EMPTY)
        )

    def choose_moves(self) -> dict[str, str]:
        """Choose moves towards the decided pool sizes, within the budgets.

        :returns: target pool by instance.
        """
        taken = {}
        pools = self.configuration.pools_by_name
        for instance in self.zone_instances:
            declared = self.configuration.workers_by_name.get(instance.name)
            if declared and is_healthy(instance) and instance.pool not in pools:
                # Its pool is no longer configured, so no service needs it there.
                taken[instance.name] = declared.pool
        movable = [
            instance
            for instance in self.available
            if instance.report.drain_ms <= LONG_DRAIN_MS
        ]
        for instance, target in choose_transfers(self.fleet, self.sizing, movable):
            if reason := self._try_take_out(instance):
                self.waits[instance.name] = f"move to {target}: {reason}"
            else:
                taken[instance.name] = target
        return taken

    def choose_maintenance(self) -> dict[str, str]:
        """Choose due instances for maintenance, pools with few dependencies first."""
        taken = {}
        now_ms, dependencies_by_pool = (
            self.fleet.now_ms,
            find_dependency_pools(self.configuration),
        )
        due = [
            instance
            for instance in self.available
            if is_maintenance_due(self.configuration, instance.maintained_ms, now_ms)
        ]
        for instance in self.zone_instances:
            if not is_healthy(instance) and is_maintenance_due(
                self.configuration, instance.maintained_ms, now_ms
            ):
                self.waits.setdefault(instance.name, _explain_unhealthy(instance))
        due.sort(
            key=lambda instance: (
                len(dependencies_by_pool[instance.pool]),
                instance.report.drain_ms // LONG_DRAIN_MS,
                instance.maintained_ms,
                instance.report.drain_ms,
                instance.name,
            )
        )
        for instance in due:
            minutes = instance.report.drain_ms // 60_000
            if instance.report.drain_ms > LONG_DRAIN_MS and not _is_overdue(
                self.configuration, instance, now_ms
            ):
                self.waits[instance.name] = f"tasks run for up to {minutes} more min"
            elif reason := self._try_take_out(instance):
                self.waits[instance.name] = reason
            else:
                taken[instance.name] = ""
        return taken

    def make_plan(self) -> Plan:
        """Make all decisions; each takes the earlier ones into account."""
        risks = self.budgets.find_risks()
        recall = self.choose_recalls()
        quarantine = self.choose_quarantines()
        # Moves come before maintenance: they restore capacity within minutes, while
        # a reboot only removes capacity.
        taken = {
            **self.choose_removed(),
            **self.choose_moves(),
            **self.choose_maintenance(),
        }
        return Plan(
            sizing=self.sizing,
            wave={
                instance.name: str(instance.assignment.state)
                for instance in self.zone_instances
                if instance.assignment.state is not InstanceState.SERVING
            },
            take=taken,
            quarantine=quarantine,
            repair=self.choose_repairs(),
            recall=recall,
            drop=self.choose_drops(),
            waits_by_name=self.waits,
            risks=risks,
        )

    def _compute_max_out(self, pool: str) -> int:
        """Return how many members of a pool may be out at once.

        The decided size less the decided wave stays in service. A pool that has
        fewer workers than decided may still have one out at a time.
        """
        decided = sum(self.sizing.counts[pool].values())
        remaining = decided - self.sizing.wave_sizes_by_pool[pool]
        if remaining == decided:
            return 0
        return max(1, self.members_by_pool[pool] - remaining)

    def _try_take_out(self, instance: FleetInstance) -> str:
        """Count an instance as out, or return the reason why it must wait."""
        pool = instance.pool
        max_out = self._compute_max_out(pool)
        if max_out == 0:
            return f"budget of pool {pool} leaves no worker for maintenance"
        if self.out_by_pool[pool] >= max_out:
            return (
                f"{self.out_by_pool[pool]} of pool {pool} are out, the limit is "
                f"{max_out}"
            )
        if reason := self.budgets.try_take_out(instance):
            return f"budget of pool {pool}: {reason}"
        self.out_by_pool[pool] += 1
        self.available = [
            other for other in self.available if other.name != instance.name
        ]
        return ""


def plan_round(
    configuration: Configuration,
    fleet: Fleet,
    sizing: Sizing,
    max_list_age_ms: int = 30_000,
    zone: str = "",
) -> Plan:
    """Decide which steps one round starts.

    :param sizing: decided sizes; see :func:`size_search.choose_sizes`.
    :param max_list_age_ms: largest age of the instance list; with an older list
        nothing is started.
    :param zone: zone to plan for, or ``""`` for all. Budgets always span all zones,
        but no part of a budget is reserved for another zone's instances: if that
        zone is partitioned, this planner could wait forever.
    """
    if fleet.list_age_ms > max_list_age_ms:
        reason = (
            f"the instance list is {fleet.list_age_ms // 1000} s old, the limit is "
            f"{max_list_age_ms // 1000} s"
        )
        waits = dict.fromkeys(fleet.instances_by_name, reason)
        return Plan(sizing=sizing, waits_by_name=waits)
    return _PlanningRound(configuration, fleet, sizing, zone).make_plan()


def plan_preview(
    configuration: Configuration,
    pools_by_zone: t.Mapping[str, t.Mapping[str, t.Any]],
    instance_list: InstanceList,
    now_ms: int = 0,
) -> Plan:
    """Compute what planners would do with a configuration.

    The workers' reports are not available to the preview, so it assumes that no
    tasks run.

    :param pools_by_zone: bodies of the ``pools/<zone>`` records; for a missing zone
        its declared workers are used.
    :param instance_list: the platform's list; if it is empty, every declared worker
        counts as live.
    :param now_ms: wall clock in milliseconds; with 0, maintenance of every instance
        counts as due, which shows the order of a full roll-out.
    """
    parsed = {zone: parse_zone_pools(body) for zone, body in pools_by_zone.items()}
    fleet = build_fleet(configuration, parsed, instance_list, now_ms)
    if not instance_list.instances:
        live = {
            name: dataclasses.replace(instance, live=True)
            for name, instance in fleet.instances_by_name.items()
        }
        fleet = dataclasses.replace(fleet, instances_by_name=live)
    if not now_ms:
        fleet = _advance_to_due(configuration, fleet)
    sizing = choose_sizes(build_problem(configuration, fleet))
    return plan_round(configuration, fleet, sizing)


def _advance_to_due(configuration: Configuration, fleet: Fleet) -> Fleet:
    """Return the fleet at a time when maintenance of every instance is due."""
    newest_ms = max(
        (instance.maintained_ms for instance in fleet.instances_by_name.values()),
        default=0,
    )
    return dataclasses.replace(fleet, now_ms=newest_ms + _period_ms(configuration))
