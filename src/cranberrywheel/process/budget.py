"""Availability budgets: how many instances may be out so that any domain can fail."""

import collections
import typing as t

from cranberrywheel.process.capacity import min_healthy_by_pool
from cranberrywheel.process.fleet_model import (
    Fleet,
    FleetInstance,
    InstanceState,
    find_dependency_pools,
)
from cranberrywheel.version.configuration import Configuration

#: A worker that boots a faulty image usually fails within its first minutes. For
#: this time after maintenance it counts as out, like the rest of its wave.
STABILIZATION_MS = 5 * 60_000


def is_stabilizing(instance: FleetInstance, now_ms: int) -> bool:
    """Tell whether an instance returned from maintenance within the last 5 minutes."""
    return 0 <= now_ms - instance.maintained_ms < STABILIZATION_MS


def is_healthy(instance: FleetInstance) -> bool:
    """Tell whether an instance can accept work now."""
    return (
        instance.live
        and instance.report.reachable
        and instance.assignment.state is InstanceState.SERVING
    )


def _domains(instance: FleetInstance) -> tuple[str, str]:
    return f"zone {instance.zone}", f"rack {instance.zone}/{instance.rack}"


class _PoolBudget:
    """All members and healthy members of one pool, in total and per failure domain.

    :param min_healthy: members that must stay healthy.
    """

    def __init__(self, min_healthy: int) -> None:
        self.min_healthy = min_healthy
        self.members = 0
        self.healthy = 0
        self.members_by_domain: collections.Counter[str] = collections.Counter()
        self.healthy_by_domain: collections.Counter[str] = collections.Counter()
        #: One member of each combination of domains.
        self._samples_by_domains: dict[tuple[str, str], FleetInstance] = {}

    def add(self, instance: FleetInstance, healthy: bool) -> None:
        """Add one member.

        :param healthy: whether it counts as healthy.
        """
        self.members += 1
        self.members_by_domain.update(_domains(instance))
        self._samples_by_domains[_domains(instance)] = instance
        if healthy:
            self.healthy += 1
            self.healthy_by_domain.update(_domains(instance))

    def remove(self, instance: FleetInstance) -> None:
        """Count a healthy member as out."""
        self.healthy -= 1
        self.healthy_by_domain.subtract(_domains(instance))

    def restore(self, instance: FleetInstance) -> None:
        """Undo :meth:`remove`."""
        self.healthy += 1
        self.healthy_by_domain.update(_domains(instance))

    def required_after_loss(self, members: int) -> int:
        """Return how many healthy members must remain after the loss of some members.

        This is ``min_healthy``, or all remaining members if the pool is too small to
        keep ``min_healthy`` through the loss even without maintenance.

        :param members: number of members that the loss takes.
        """
        return min(self.min_healthy, self.members - members)

    def shortfall(self) -> str:
        """Return the first violated minimum as text, or ``""``."""
        if self.healthy < min(self.min_healthy, self.members):
            return f"{self.healthy} of {self.min_healthy} healthy"
        if self.healthy - 1 < self.required_after_loss(1):
            return (
                f"loss of one worker would leave {self.healthy - 1} "
                f"of {self.min_healthy}"
            )
        for domain, members in self.members_by_domain.items():
            left = self.healthy - self.healthy_by_domain[domain]
            if left < self.required_after_loss(members):
                return f"loss of {domain} would leave {left} of {self.min_healthy}"
        return ""

    def find_risks(self) -> list[str]:
        """Return the losses that the pool cannot tolerate even if all are healthy.

        One more entry says that no member can be taken out for maintenance.
        """
        risks = [
            f"loss of {domain} leaves {self.members - members} of {self.min_healthy}"
            for domain, members in self.members_by_domain.items()
            if self.members - members < self.min_healthy
        ]
        if self.members and not self._can_maintain():
            risks.append(
                f"no worker can be taken out while {self.min_healthy} must stay healthy"
            )
        return risks

    def _can_maintain(self) -> bool:
        """Tell whether any member could be taken out if all were healthy."""
        all_healthy = _PoolBudget(self.min_healthy)
        all_healthy.members = all_healthy.healthy = self.members
        all_healthy.members_by_domain = self.members_by_domain
        all_healthy.healthy_by_domain = self.members_by_domain.copy()
        for instance in self._samples_by_domains.values():
            all_healthy.remove(instance)
            if not all_healthy.shortfall():
                return True
            all_healthy.restore(instance)
        return False


class AvailabilityBudgets:
    """Availability budgets of all pools during one planning round.

    An instance counts as lost if it is listed in ``disruptions``, is unhealthy, or
    returned from maintenance a short time ago, because the rest of its wave may
    still fail as well.

    :param out_names: instances listed in ``disruptions``.
    """

    def __init__(
        self,
        configuration: Configuration,
        fleet: Fleet,
        out_names: t.Collection[str] = (),
    ) -> None:
        self._dependencies_by_pool = find_dependency_pools(configuration)
        self._budgets = {
            pool: _PoolBudget(min_healthy)
            for pool, min_healthy in min_healthy_by_pool(configuration).items()
        }
        out = set(out_names)
        for instance in fleet.instances_by_name.values():
            if instance.pool in self._budgets:
                healthy = (
                    is_healthy(instance)
                    and instance.name not in out
                    and not is_stabilizing(instance, fleet.now_ms)
                )
                self._budgets[instance.pool].add(instance, healthy)

    def shortfall(self, pool: str) -> str:
        """Return the first violated minimum of a pool as text, or ``""``."""
        return self._budgets[pool].shortfall()

    def dependency_shortfall(self, pool: str) -> str:
        """Return the first violated minimum of a pool's dependencies, or ``""``."""
        for other in sorted(self._dependencies_by_pool[pool]):
            if reason := self._budgets[other].shortfall():
                return f"dependency {other}: {reason}"
        return ""

    def try_take_out(self, instance: FleetInstance) -> str:
        """Count an instance as out if its pool and the dependencies keep their minimum.

        :param instance: an instance that counts as healthy.
        :returns: ``""``, or the reason why the instance must stay in service.
        """
        if reason := self.dependency_shortfall(instance.pool):
            return reason
        budget = self._budgets[instance.pool]
        budget.remove(instance)
        if reason := budget.shortfall():
            budget.restore(instance)
        return reason

    def mark_out(self, instance: FleetInstance) -> None:
        """Count an instance as out without checking the budget."""
        self._budgets[instance.pool].remove(instance)

    def return_to_service(self, instance: FleetInstance) -> None:
        """Count an instance as healthy again."""
        self._budgets[instance.pool].restore(instance)

    def find_risks(self) -> tuple[str, ...]:
        """Return the pools that lack workers for a domain loss or for maintenance."""
        return tuple(
            f"pool {pool}: {risk}"
            for pool, budget in self._budgets.items()
            for risk in budget.find_risks()
        )
