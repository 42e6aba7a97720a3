"""Time limits of the calls to the advisor, and the delays after calls that failed.

The advisor handles the calls of a process in turn, also those that the process has
given up. So a limit covers the calls that may be ahead, each failure in a row doubles
the delay before the next call, and a call that is given up raises the next limit.
"""

import dataclasses

#: Time of a call of which the configuration says nothing.
ASSUMED_CALL_MS = 1_000
#: Added to each limit for the network and for what the configuration does not say.
LIMIT_MARGIN_MS = 1_000
#: A call may take this many times as long as the configuration says.
LIMIT_FACTOR = 2
#: Longest limit, unless the configuration itself says that a call takes longer. All
#: steps wait for so long if an answer is lost just before the advisor is back.
MAX_LIMIT_MS = 10_000
#: Shortest and longest delay after a call that failed.
MIN_DELAY_MS, MAX_DELAY_MS = 100, 2_000
#: Largest factor by which the advisor is assumed to be slower than configured.
MAX_SLOWNESS = 32.0


@dataclasses.dataclass
class AdvisorPace:
    """What the last calls have shown. Times are steady milliseconds.

    :ivar slowness: time of a call as a multiple of the configured one, at least 1.
    :ivar given_up_ms: time that the advisor may still spend on calls given up.
    :ivar given_up_count: number of these calls.
    :ivar failure_count: failed calls in a row.
    :ivar next_call_ms: when the next call may be made.
    """

    slowness: float = 1.0
    given_up_ms: float = 0.0
    given_up_count: int = 0
    failure_count: int = 0
    next_call_ms: int = 0

    def compute_limit_ms(self, call_ms: int) -> int:
        """Return the time limit of a call.

        :param call_ms: time that the advisor takes for it by the configuration.
        """
        expected_ms = (call_ms or ASSUMED_CALL_MS) * self.slowness
        limit_ms = LIMIT_FACTOR * (expected_ms + self.given_up_ms)
        longest_ms = max(MAX_LIMIT_MS, LIMIT_FACTOR * call_ms)
        return int(min(limit_ms + LIMIT_MARGIN_MS * self.slowness, longest_ms))

    def record_handled(self, call_ms: int, took_ms: int) -> None:
        """Record an answer, before which all earlier calls were handled."""
        expected_ms = (call_ms or ASSUMED_CALL_MS) + self.given_up_ms
        self.slowness = min(MAX_SLOWNESS, max(1.0, took_ms / expected_ms))
        self.given_up_ms, self.given_up_count = 0.0, 0
        self.failure_count, self.next_call_ms = 0, 0

    def record_given_up(self, call_ms: int, now_ms: int) -> None:
        """Record a call without an answer, which the advisor may handle yet."""
        self.given_up_ms += (call_ms or ASSUMED_CALL_MS) * self.slowness
        self.given_up_count += 1
        self.slowness = min(MAX_SLOWNESS, 2 * self.slowness)
        self.record_refused(call_ms, now_ms)

    def record_refused(self, call_ms: int, now_ms: int) -> None:
        """Record a call that the advisor did not handle.

        If too many calls wait there, the time of one call passes until one fewer does.
        """
        delay_ms = max(MIN_DELAY_MS, min(call_ms, MAX_DELAY_MS))
        delay_ms <<= min(self.failure_count, 8)
        self.next_call_ms = now_ms + min(MAX_DELAY_MS, delay_ms)
        self.failure_count += 1
