"""Callbacks that are due at a clock reading."""

import heapq
import itertools
import typing as t


class Timers:
    """A heap of callbacks, run by the task that owns it."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, t.Callable[[], None]]] = []
        self._order = itertools.count()

    def add(self, due_ms: int, callback: t.Callable[[], None]) -> None:
        """Run a callback at or after a clock reading.

        :param due_ms: clock reading in milliseconds.
        :param callback: runs on the owning task.
        """
        heapq.heappush(self._heap, (due_ms, next(self._order), callback))

    def run_due(self, now_ms: int) -> None:
        """Run every callback that is due."""
        while self._heap and self._heap[0][0] <= now_ms:
            heapq.heappop(self._heap)[2]()

    def wait_ms(self, now_ms: int, longest_ms: int) -> int:
        """Return how long the owner may sleep.

        :param longest_ms: upper bound of the result.
        """
        if not self._heap:
            return longest_ms
        return max(0, min(longest_ms, self._heap[0][0] - now_ms))
