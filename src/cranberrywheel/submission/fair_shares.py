"""Shares of the organisations of a contended pool, by the resources that they use.

Load pattern: some organisations send four to eight times their usual rate for several
seconds, or ask for wide tasks, while a pool is full. Ordered by the end of its
objective alone, their work takes the capacity that the others need.

The use of an organisation is the larger of its parts of the pool's cpu and memory, as
in dominant resource fairness. It is compared with the organisation's part of the
weights of all organisations that have work in the pool. Long-running and background
tasks do not count: they keep their capacity all day and do not compete for what short
work releases.
"""

import dataclasses
import heapq
import math
import typing as t

from cranberrywheel.submission.model import NO_RESOURCES, Organisation, Resources, Step

#: Time constant with which the use during a contention is remembered and forgotten. It
#: is about two tasks long, so that a burst of one submission counts until its resources
#: have been used by others.
MEMORY_MS = 2_000
#: Part of the pool above its share up to which an organisation is served in the order
#: of the ends of the objectives. One wide submission takes a fifth of a small pool, and
#: an order by use alone makes submissions late that could be on time: in replays of 20
#: organisations on 6 machines it serves 0.989 where the tolerant order serves 0.997.
ALLOWANCE = 0.2
#: Time between two log lines about the contention of a pool.
LOG_INTERVAL_MS = 1_000
#: Weight of an organisation that the configuration does not name, and of calls without
#: an API key.
DEFAULT_WEIGHT = Organisation("").weight

#: Range of the weights that are used. A weight of 0 has no share to compare a use with,
#: and the sum of very large ones is not finite.
MIN_WEIGHT, MAX_WEIGHT = 1e-6, 1e12

_Key = t.TypeVar("_Key", bound=tuple[t.Any, ...])
_Item = t.TypeVar("_Item")


def counts_towards_share(step: Step) -> bool:
    """Tell whether the tasks of a step compete for the capacity that is shared."""
    return not step.long_running and not step.fills


def clamp_weight(weight: float) -> float:
    """Return a weight within its range; the minimum for one that is not finite."""
    if not math.isfinite(weight):
        return MIN_WEIGHT
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT)


@dataclasses.dataclass
class PoolShares:
    """Use of one pool by the organisations. Times are steady milliseconds.

    :ivar used: resources in use, by organisation.
    :ivar capacity: capacity of the pool, when it was last updated.
    :ivar mean_use: mean use during contention as a part of the pool, by organisation.
        It approaches 0 while the pool is not contended. What one organisation uses
        below its share is a credit towards the others, and what it uses above is a
        debt; both are bounded by the whole pool and forgotten at the same rate.
    :ivar fair_share: part of the pool by organisation, of those with work in it.
    :ivar contended: work waits that does not fit.
    :ivar updated_ms: when the means were last updated.
    :ivar infeasible_count: submissions that are put behind, see :mod:`.overload_order`.
    :ivar logged_ms: when the contention was last logged.
    """

    used: dict[str, Resources] = dataclasses.field(default_factory=dict)
    capacity: Resources = NO_RESOURCES
    mean_use: dict[str, float] = dataclasses.field(default_factory=dict)
    fair_share: dict[str, float] = dataclasses.field(default_factory=dict)
    contended: bool = False
    updated_ms: int = 0
    infeasible_count: int = 0
    logged_ms: int = -LOG_INTERVAL_MS

    def add_use(self, organisation: str, size: Resources) -> None:
        """Count the resources of a run that begins."""
        self.used[organisation] = self.used.get(organisation, NO_RESOURCES) + size

    def remove_use(self, organisation: str, size: Resources) -> None:
        """Release the resources of a run that has ended."""
        left = self.used.get(organisation, NO_RESOURCES) - size
        if left == NO_RESOURCES:
            self.used.pop(organisation, None)
        else:
            self.used[organisation] = left

    def get_use(self, organisation: str) -> float:
        """Return the use of an organisation as a part of the pool."""
        used = self.used.get(organisation, NO_RESOURCES)
        return max(
            used.cpu / max(1, self.capacity.cpu),
            used.memory_mb / max(1, self.capacity.memory_mb),
        )

    def update(
        self,
        capacity: Resources,
        weight_by_organisation: t.Mapping[str, float],
        contended: bool,
        now_ms: int,
    ) -> None:
        """Apply the time that has passed since the last update.

        :param capacity: capacity of the pool for new work.
        :param weight_by_organisation: weights of the organisations with work in the
            pool.
        :param contended: work waits that does not fit.
        """
        decay = math.exp(-(now_ms - self.updated_ms) / MEMORY_MS)
        self.capacity = capacity
        self.contended = contended
        self.updated_ms = now_ms
        means: dict[str, float] = {}
        for organisation in self.mean_use.keys() | self.used.keys():
            target = self.get_use(organisation) if contended else 0.0
            mean = self.mean_use.get(organisation, 0.0)
            mean = decay * mean + (1 - decay) * target
            if mean > 0.001 or organisation in self.used:
                means[organisation] = mean
        self.mean_use = means
        total = sum(weight_by_organisation.values())
        self.fair_share = {
            organisation: weight / total
            for organisation, weight in weight_by_organisation.items()
        }

    def get_recent_use(self, organisation: str) -> float:
        """Return the mean of the present and the remembered use."""
        mean = self.mean_use.get(organisation, 0.0)
        return (self.get_use(organisation) + mean) / 2

    def compute_level(self, organisation: str) -> float:
        """Return the use as a multiple of the share, or 0 up to the allowance.

        Lower levels are served first. The mean of the present and the remembered use
        counts.
        """
        share = self.fair_share.get(organisation)
        if not share:
            return 0.0
        use = self.get_recent_use(organisation)
        return use / share if use > share + ALLOWANCE else 0.0


def iterate_least_served(
    rows: t.Iterable[tuple[_Key, str, _Item]],
    compute_level: t.Callable[[str], float],
) -> t.Iterator[_Item]:
    """Iterate over the items of one priority group, least-served organisation first.

    The caller may start work between two items: the level of the organisation of the
    last item is computed again.

    :param rows: items with their keys and organisations, in the order of the keys;
        organisations of equal levels are served in that order.
    """
    by_organisation: dict[str, list[tuple[_Key, int, _Item]]] = {}
    for number, (key, organisation, item) in enumerate(rows):
        by_organisation.setdefault(organisation, []).append((key, number, item))
    heap: list[tuple[float, _Key, int, str]] = []

    def push(organisation: str) -> None:
        key, number, _ = by_organisation[organisation][-1]
        heapq.heappush(heap, (compute_level(organisation), key, number, organisation))

    for organisation, waiting in by_organisation.items():
        waiting.reverse()
        push(organisation)
    while heap:
        organisation = heapq.heappop(heap)[-1]
        yield by_organisation[organisation].pop()[-1]
        if by_organisation[organisation]:
            push(organisation)
