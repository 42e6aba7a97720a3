"""Chooses a worker by the power of two random choices."""

import random
import typing as t

#: Number of random draws before the whole list is searched. The search is needed only
#: if most workers of a short list cannot take the request.
MAX_DRAWS = 8
#: Number of usable candidates that are compared. Two already avoid the longest
#: queues; further ones improve the balance little and cost time.
SAMPLED_CANDIDATES = 2

T = t.TypeVar("T")


class SamplingList(t.Generic[T]):
    """A set with O(1) insertion, removal and access by position.

    A removal may move another item; the order of the items is arbitrary.
    """

    def __init__(self) -> None:
        self._items: list[T] = []
        self._positions: dict[T, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __getitem__(self, position: int) -> T:
        return self._items[position]

    def __contains__(self, item: T) -> bool:
        return item in self._positions

    def add(self, item: T) -> None:
        """Insert an item; no effect if it is already present."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: T) -> None:
        """Remove an item; no effect if it is absent."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last is not item:
            self._items[position] = last
            self._positions[last] = position


def _choose_least_loaded(
    items: SamplingList[T],
    get_load: t.Callable[[T, int], float | None],
    rng: random.Random,
    now_ms: int,
) -> T | None:
    count = len(items)
    best: T | None = None
    best_load = 0.0
    usable_count = 0
    if count > SAMPLED_CANDIDATES:
        for _ in range(MAX_DRAWS):
            item = items[int(rng.random() * count)]
            load = get_load(item, now_ms)
            if load is None:
                continue
            if best is None or load < best_load:
                best, best_load = item, load
            usable_count += 1
            if usable_count == SAMPLED_CANDIDATES:
                break
        if best is not None:
            return best
    offset = int(rng.random() * count)
    for index in range(count):
        item = items[(offset + index) % count]
        load = get_load(item, now_ms)
        if load is not None and (best is None or load < best_load):
            best, best_load = item, load
    return best


def choose_worker(
    candidates: t.Iterable[SamplingList[T]],
    get_load: t.Callable[[T, int], float | None],
    rng: random.Random,
    now_ms: int,
) -> T | None:
    """Choose the less loaded of two random workers of the first usable group.

    :param candidates: groups of workers in order of preference: those of the local
        zone, then those of other zones.
    :param get_load: returns the load of a worker at a clock reading, or ``None`` if
        the worker cannot take this request.
    :param rng: random generator for the choice.
    :param now_ms: clock reading in milliseconds, passed to ``get_load``.
    :returns: a worker, or ``None`` if no group has a usable one.
    """
    for group in candidates:
        if (
            len(group)
            and (chosen := _choose_least_loaded(group, get_load, rng, now_ms))
            is not None
        ):
            return chosen
    return None
