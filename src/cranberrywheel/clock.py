"""Monotonic time in milliseconds, and a manual clock for tests."""

import time


class Clock:
    """Reads the time since boot, including the time that the machine was suspended.

    A clock that stopped during a suspend would make expired leases appear valid.

    Readings are comparable only within one process; messages between processes carry
    durations.
    """

    def now_ms(self) -> int:
        """Return the monotonic time.

        :returns: milliseconds since an arbitrary point in time.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def sleep_ms(self, duration_ms: int) -> None:
        """Block the calling thread.

        :param duration_ms: milliseconds to sleep.
        """
        time.sleep(max(0, duration_ms) / 1000)


class ManualClock(Clock):
    """A clock that advances only on request, for tests and simulations.

    :param start_ms: the first reading in milliseconds.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        return self._now_ms

    def sleep_ms(self, duration_ms: int) -> None:
        self.advance(duration_ms)

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward.

        :param duration_ms: milliseconds to add; not negative.
        :raises ValueError: if ``duration_ms`` is negative.
        """
        if duration_ms < 0:
            raise ValueError("a monotonic clock cannot move backwards")
        self._now_ms += duration_ms
