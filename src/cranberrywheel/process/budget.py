"""Availability budgets: which instances may be out after the loss of any domain."""

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

#: A worker that boots a faulty image usually fails within its first minutes. Until
#: then it counts as out, like the rest of its wave.
SETTLE_MS = 5 * 60_000


def is_settling(instance: FleetInstance, now_ms: int) -> bool:
    """Tell whether an instance returned from maintenance a short time ago."""
    return 0 <= now_ms - instance.maintained_ms < SETTLE_MS


def is_healthy(instance: FleetInstance) -> bool:
    """Tell whether an instance can take work now."""
    return (
        instance.live
        and instance.report.reachable
        and instance.assignment.state is InstanceState.SERVING
    )


def _domains(instance: FleetInstance) -> tuple[str, str]:
    return f"zone {instance.zone}", f"rack {instance.zone}/{instance.rack}"


class _PoolBudget:
    """Healthy and declared members of one pool per failure domain."""

    def __init__(self, min_healthy: int) -> None:
        self.min_healthy = min_healthy
        self.members = 0
        self.healthy = 0
        self.members_by_domain: collections.Counter[str] = collections.Counter()
        self.healthy_by_domain: collections.Counter[str] = collections.Counter()
        #: One member of each combination of domains.
        self._samples: dict[tuple[str, str], FleetInstance] = {}

    def add(self, instance: FleetInstance, healthy: bool) -> None:
        """Count one member."""
        self.members += 1
        self.members_by_domain.update(_domains(instance))
        self._samples[_domains(instance)] = instance
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

    def floor_without(self, members: int) -> int:
        """Return how many must stay when this many members are left of the fleet.

        Where the fleet cannot keep the budget through the loss, the floor is what
        the loss leaves without maintenance.
        """
        return min(self.min_healthy, self.members - members)

    def shortfall(self) -> str:
        """Return the first floor that is not kept, or ``""``."""
        if self.healthy < min(self.min_healthy, self.members):
            return f"{self.healthy} of {self.min_healthy} healthy"
        if self.healthy - 1 < self.floor_without(1):
            return (
                f"loss of one worker would leave {self.healthy - 1} "
                f"of {self.min_healthy}"
            )
        for domain, members in self.members_by_domain.items():
            left = self.healthy - self.healthy_by_domain[domain]
            if left < self.floor_without(members):
                return f"loss of {domain} would leave {left} of {self.min_healthy}"
        return ""

    def risks(self) -> list[str]:
        """Return what the declared workers cannot keep, even if all are healthy."""
        found = [
            f"loss of {domain} leaves {self.members - members} of {self.min_healthy}"
            for domain, members in self.members_by_domain.items()
            if self.members - members < self.min_healthy
        ]
        if self.members and not self._can_maintain():
            found.append(f"no worker can be spared with {self.min_healthy} to keep")
        return found

    def _can_maintain(self) -> bool:
        """Tell whether any member could be out if all were healthy."""
        whole = _PoolBudget(self.min_healthy)
        whole.members = whole.healthy = self.members
        whole.members_by_domain = self.members_by_domain
        whole.healthy_by_domain = self.members_by_domain.copy()
        for instance in self._samples.values():
            whole.remove(instance)
            if not whole.shortfall():
                return True
            whole.restore(instance)
        return False


class AvailabilityBudgets:
    """Availability budgets of all pools while one plan is made.

    An instance out on purpose, settling after maintenance or unhealthy counts as
    lost, because the rest of a wave may fail as well.

    :param out_names: instances listed in ``disruptions``.
    """

    def __init__(
        self,
        configuration: Configuration,
        fleet: Fleet,
        out_names: t.Collection[str] = (),
    ) -> None:
        self._needed = find_dependency_pools(configuration)
        self._budgets = {
            pool: _PoolBudget(n)
            for pool, n in min_healthy_by_pool(configuration).items()
        }
        out = set(out_names)
        for instance in fleet.instances_by_name.values():
            if instance.pool in self._budgets:
                healthy = (
                    is_healthy(instance)
                    and instance.name not in out
                    and not is_settling(instance, fleet.now_ms)
                )
                self._budgets[instance.pool].add(instance, healthy)

    def shortfall(self, pool: str) -> str:
        """Return which floor of a pool is not kept, or ``""``."""
        return self._budgets[pool].shortfall()

    def dependency_shortfall(self, pool: str) -> str:
        """Return which floor of a pool's dependencies is not kept, or ``""``."""
        for other in sorted(self._needed[pool]):
            if reason := self._budgets[other].shortfall():
                return f"dependency {other}: {reason}"
        return ""

    def take(self, instance: FleetInstance) -> str:
        """Count an instance as out if its pool keeps its floors.

        :param instance: an instance that counts as healthy.
        :returns: ``""``, or why the instance must stay.
        """
        if reason := self.dependency_shortfall(instance.pool):
            return reason
        budget = self._budgets[instance.pool]
        budget.remove(instance)
        if reason := budget.shortfall():
            budget.restore(instance)
        return reason

    def lose(self, instance: FleetInstance) -> None:
        """Count an instance as out without a check."""
        self._budgets[instance.pool].remove(instance)

    def return_to_service(self, instance: FleetInstance) -> None:
        """Count an instance as healthy again."""
        self._budgets[instance.pool].restore(instance)

    def risks(self) -> tuple[str, ...]:
        """Return which pools lack workers for a domain loss or for maintenance."""
        return tuple(
            f"pool {pool}: {risk}"
            for pool, budget in self._budgets.items()
            for risk in budget.risks()
        )
