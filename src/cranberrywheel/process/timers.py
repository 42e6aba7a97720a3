"""Callbacks scheduled by a clock reading."""

import heapq
import itertools
import typing as t


class Timers:
    """Scheduled callbacks, run by the task that owns them."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, t.Callable[[], None]]] = []
        self._sequence = itertools.count()

    def add(self, due_ms: int, callback: t.Callable[[], None]) -> None:
        """Schedule a callback.

        :param due_ms: clock reading, in milliseconds, from which the callback is due.
        :param callback: called by :meth:`run_due`.
        """
        heapq.heappush(self._heap, (due_ms, next(self._sequence), callback))

    def run_due(self, now_ms: int) -> None:
        """Run the callbacks that are due, including those that they add."""
        while self._heap and self._heap[0][0] <= now_ms:
            heapq.heappop(self._heap)[2]()

    def get_wait_ms(self, now_ms: int, longest_ms: int) -> int:
        """Return the milliseconds until the next callback is due, at least 0.

        :param longest_ms: upper bound of the result.
        """
        if not self._heap:
            return longest_ms
        return max(0, min(longest_ms, self._heap[0][0] - now_ms))
