"""Which instances are drained, quarantined or recalled next, and why others wait."""

import collections
import dataclasses
import typing as t

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.process.budget import AvailabilityBudgets, is_healthy, is_settling
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

#: Maintenance of an instance is due after this part of the period. The rest of the
#: period absorbs overnight jobs and waves that had to stop.
DUE_FRACTION = 0.75
#: After this part of the period, running work no longer postpones a drain.
PRESSING_FRACTION = 0.9
#: An instance whose work needs longer than this to drain waits for a better moment.
LONG_DRAIN_MS = 15 * 60_000
#: A worker that fails again within this time of its repair stays quarantined.
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


def _is_pressing(
    configuration: Configuration, instance: FleetInstance, now_ms: int
) -> bool:
    # An instance without a recorded maintenance has no known date to miss.
    if not instance.maintained_ms:
        return False
    age_ms = now_ms - instance.maintained_ms
    return age_ms >= PRESSING_FRACTION * _period_ms(configuration)


def _why_unhealthy(instance: FleetInstance) -> str:
    if not instance.live:
        return "not live in the instance list"
    if not instance.report.reachable:
        return "does not answer"
    return f"already {instance.assignment.state}"


class _Round:
    """Working state while one plan is made.

    ``free`` are the instances that may still be taken, ``waits`` the reasons of the
    others by name.
    """

    def __init__(
        self, configuration: Configuration, fleet: Fleet, sizing: Sizing, zone: str
    ) -> None:
        self.configuration = configuration
        self.own = [
            instance
            for instance in fleet.instances_by_name.values()
            if not zone or instance.zone == zone
        ]
        self.fleet = fleet
        self.sizing = sizing
        out = {name for names in fleet.out_by_service.values() for name in names}
        self.ledger = AvailabilityBudgets(configuration, fleet, out)
        self.out_by_pool: collections.Counter[str] = collections.Counter()
        self.members_by_pool = collections.Counter(
            instance.pool for instance in fleet.instances_by_name.values()
        )
        for instance in fleet.instances_by_name.values():
            planned = instance.name in out or instance.assignment.state not in (
                InstanceState.SERVING,
                InstanceState.QUARANTINED,
            )
            if planned or is_settling(instance, fleet.now_ms):
                self.out_by_pool[instance.pool] += 1
        self.free = [
            instance
            for instance in self.own
            if is_healthy(instance)
            and instance.name not in out
            and not is_settling(instance, fleet.now_ms)
            and instance.pool in configuration.pools_by_name
        ]
        self.waits: dict[str, str] = {}

    def recall(self) -> tuple[str, ...]:
        """Return drained instances to pools whose margin a failure used up."""
        names = []
        for instance in self.own:
            waiting = instance.assignment.state in (
                InstanceState.DRAINING,
                InstanceState.EMPTY,
            )
            if (
                waiting
                and instance.live
                and instance.report.reachable
                and instance.pool in self.configuration.pools_by_name
                and self.ledger.shortfall(instance.pool)
            ):
                names.append(instance.name)
                self.ledger.return_to_service(instance)
                self.out_by_pool[instance.pool] -= 1
        return tuple(names)

    def quarantine(self) -> tuple[str, ...]:
        """Choose workers that fail everything, within the budget of each pool."""
        failing = [i for i in self.free if i.report.fails_everything]
        refused = {}
        for instance in failing:
            if reason := self.ledger.take(instance):
                refused[instance.name] = f"fails everything, but {reason}"
        # They do no work either, so maintenance must not count on them.
        for instance in failing:
            if instance.name in refused:
                self.ledger.lose(instance)
        self.waits.update(refused)
        names = [i.name for i in failing if i.name not in refused]
        self.free = [i for i in self.free if not i.report.fails_everything]
        return tuple(names)

    def repair(self) -> tuple[str, ...]:
        """Choose quarantined instances that join the wave; they need no budget."""
        names = []
        for instance in self.own:
            if instance.assignment.state is not InstanceState.QUARANTINED:
                continue
            if self.fleet.now_ms - instance.maintained_ms < REPAIR_INTERVAL_MS:
                self.waits[instance.name] = (
                    "fails again shortly after its repair; replace it"
                )
            elif not instance.live:
                self.waits[instance.name] = _why_unhealthy(instance)
            elif self._may_have_work(instance):
                self.waits[instance.name] = "quarantined, work may still run"
            else:
                names.append(instance.name)
        return tuple(names)

    def _may_have_work(self, instance: FleetInstance) -> bool:
        """Tell whether work may run; a silent worker's ends at its own deadline."""
        if instance.report.reachable:
            return instance.report.running > 0
        longest_ms = max(
            (q.timeout_ms for q in self.configuration.queues_by_name.values()),
            default=0,
        )
        return self.fleet.now_ms - instance.assignment.since_ms < longest_ms

    def take_removed(self) -> dict[str, str]:
        """Start to drain workers that left the configuration."""
        take = {}
        declared = self.configuration.workers_by_name
        for instance in [i for i in self.free if i.name not in declared]:
            if reason := self._try(instance):
                self.waits[instance.name] = f"removed from the configuration: {reason}"
            else:
                take[instance.name] = ""
        self.free = [i for i in self.free if i.name in declared]
        return take

    def drop(self) -> tuple[str, ...]:
        """Choose instances that left the configuration and do no work any more."""
        declared = self.configuration.workers_by_name
        return tuple(
            i.name
            for i in self.own
            if i.name not in declared
            and (not i.live or i.assignment.state is InstanceState.EMPTY)
        )

    def take_transfers(self) -> dict[str, str]:
        """Start moves towards the decided sizes, as far as budgets allow."""
        take = {}
        pools = self.configuration.pools_by_name
        for instance in self.own:
            declared = self.configuration.workers_by_name.get(instance.name)
            if declared and is_healthy(instance) and instance.pool not in pools:
                # Its pool left the configuration, so no service needs it there.
                take[instance.name] = declared.pool
        movable = [i for i in self.free if i.report.drain_ms <= LONG_DRAIN_MS]
        for instance, target in choose_transfers(self.fleet, self.sizing, movable):
            if reason := self._try(instance):
                self.waits[instance.name] = f"move to {target}: {reason}"
            else:
                take[instance.name] = target
        return take

    def take_maintenance(self) -> dict[str, str]:
        """Start maintenance of due instances, dependencies first."""
        take = {}
        now_ms, needed = self.fleet.now_ms, find_dependency_pools(self.configuration)
        due = [
            i
            for i in self.free
            if is_maintenance_due(self.configuration, i.maintained_ms, now_ms)
        ]
        for instance in self.own:
            if not is_healthy(instance) and is_maintenance_due(
                self.configuration, instance.maintained_ms, now_ms
            ):
                self.waits.setdefault(instance.name, _why_unhealthy(instance))
        due.sort(
            key=lambda i: (
                len(needed[i.pool]),
                i.report.drain_ms // LONG_DRAIN_MS,
                i.maintained_ms,
                i.report.drain_ms,
                i.name,
            )
        )
        for instance in due:
            minutes = instance.report.drain_ms // 60_000
            if instance.report.drain_ms > LONG_DRAIN_MS and not _is_pressing(
                self.configuration, instance, now_ms
            ):
                self.waits[instance.name] = f"work runs for up to {minutes} more min"
            elif reason := self._try(instance):
                self.waits[instance.name] = reason
            else:
                take[instance.name] = ""
        return take

    def plan(self) -> Plan:
        """Make all choices; each one sees what those before it took."""
        risks = self.ledger.risks()
        recall = self.recall()
        quarantine = self.quarantine()
        # Moves before maintenance: they restore capacity within minutes, a reboot
        # only removes it.
        take = {
            **self.take_removed(),
            **self.take_transfers(),
            **self.take_maintenance(),
        }
        return Plan(
            sizing=self.sizing,
            wave={
                instance.name: str(instance.assignment.state)
                for instance in self.own
                if instance.assignment.state is not InstanceState.SERVING
            },
            take=take,
            quarantine=quarantine,
            repair=self.repair(),
            recall=recall,
            drop=self.drop(),
            waits_by_name=self.waits,
            risks=risks,
        )

    def _most_out(self, pool: str) -> int:
        """Return how many may be out so that the decided capacity stays.

        A pool that still lacks workers gets one out at a time.
        """
        decided = sum(self.sizing.counts[pool].values())
        kept = decided - self.sizing.wave_sizes_by_pool[pool]
        if kept == decided:
            return 0
        return max(1, self.members_by_pool[pool] - kept)

    def _try(self, instance: FleetInstance) -> str:
        """Count an instance as taken, or return why it must wait."""
        pool = instance.pool
        most_out = self._most_out(pool)
        if most_out == 0:
            return f"budget of pool {pool} leaves no worker for maintenance"
        if self.out_by_pool[pool] >= most_out:
            return f"{self.out_by_pool[pool]} of pool {pool} are out, the wave is full"
        if reason := self.ledger.take(instance):
            return f"budget of pool {pool}: {reason}"
        self.out_by_pool[pool] += 1
        self.free = [other for other in self.free if other.name != instance.name]
        return ""


def plan_round(
    configuration: Configuration,
    fleet: Fleet,
    sizing: Sizing,
    max_list_age_ms: int = 30_000,
    zone: str = "",
) -> Plan:
    """Decide what one round starts.

    :param sizing: decided sizes; see :func:`size_search.choose_sizes`.
    :param max_list_age_ms: oldest instance list that a plan may use.
    :param zone: zone to plan for, or ``""`` for all. Budgets always span all zones;
        a planner that left room for another zone's instances could wait for ever
        if that zone is partitioned.
    """
    if fleet.list_age_ms > max_list_age_ms:
        reason = f"the instance list is {fleet.list_age_ms // 1000} s old"
        waits = dict.fromkeys(fleet.instances_by_name, reason)
        return Plan(sizing=sizing, waits_by_name=waits)
    return _Round(configuration, fleet, sizing, zone).plan()


def plan_preview(
    configuration: Configuration,
    pools_by_zone: t.Mapping[str, t.Mapping[str, t.Any]],
    instance_list: InstanceList,
    now_ms: int = 0,
) -> Plan:
    """Show what planners would do with a configuration.

    Without the workers' reports the preview assumes that no work runs.

    :param pools_by_zone: bodies of the ``pools/<zone>`` records; a missing zone
        counts with its declared workers.
    :param instance_list: the platform's list; if it is empty, every declared worker
        counts as live.
    :param now_ms: wall clock in milliseconds; 0 shows the order of a full round.
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
        fleet = _as_if_due(configuration, fleet)
    sizing = choose_sizes(build_problem(configuration, fleet))
    return plan_round(configuration, fleet, sizing)


def _as_if_due(configuration: Configuration, fleet: Fleet) -> Fleet:
    """Move the clock to when maintenance of every instance is due."""
    newest_ms = max(
        (i.maintained_ms for i in fleet.instances_by_name.values()), default=0
    )
    return dataclasses.replace(fleet, now_ms=newest_ms + _period_ms(configuration))
