"""Choice of one worker among sampled candidates."""

import random
import typing as t

#: Samples drawn before the whole list is searched. Only requests that exclude most
#: of a short list need the search.
MAX_SAMPLES = 8
#: Two samples already avoid the longest queues; more gain little and cost time.
CHOICES = 2

T = t.TypeVar("T")


class SamplingList(t.Generic[T]):
    """A set with O(1) insertion, removal and access by position.

    Positions change with every removal and carry no meaning.
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


def _sample(
    items: SamplingList[T],
    view: t.Callable[[T, int], float | None],
    rng: random.Random,
    now_ms: int,
) -> T | None:
    count = len(items)
    best: T | None = None
    best_load = 0.0
    found = 0
    if count > CHOICES:
        for _ in range(MAX_SAMPLES):
            item = items[int(rng.random() * count)]
            load = view(item, now_ms)
            if load is None:
                continue
            if best is None or load < best_load:
                best, best_load = item, load
            found += 1
            if found == CHOICES:
                break
        if best is not None:
            return best
    offset = int(rng.random() * count)
    for index in range(count):
        item = items[(offset + index) % count]
        load = view(item, now_ms)
        if load is not None and (best is None or load < best_load):
            best, best_load = item, load
    return best


def choose_worker(
    candidates: t.Iterable[SamplingList[T]],
    view: t.Callable[[T, int], float | None],
    rng: random.Random,
    now_ms: int,
) -> T | None:
    """Choose the less loaded of two sampled workers in the first usable group.

    :param candidates: groups in order of preference: own zone, then other zones.
    :param view: returns the load of a worker at a clock reading, or ``None`` if it
        cannot take this request.
    :param rng: source of the samples.
    :param now_ms: clock reading, passed to ``view``.
    :returns: a worker, or ``None`` if no group has a usable one.
    """
    for group in candidates:
        if len(group) and (chosen := _sample(group, view, rng, now_ms)) is not None:
            return chosen
    return None
