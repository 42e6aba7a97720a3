"""Timeout of calls to a service, learned from the times of its answers.

Load pattern: the service usually answers within milliseconds. During a fault a third of
its answers are lost, or each answer takes sixty times as long. A fixed timeout that
covers the second fault delays every lost call by as much during the first.
"""

#: Shortest timeout in milliseconds, well above an answer from a busy machine.
MIN_TIMEOUT_MS = 150
#: Multiple of the longest recent answer time.
ANSWER_TIME_FACTOR = 4
#: Factor by which the longest recent answer time shrinks with each answer.
DECAY = 0.95
#: Factor on the timeout after each call that timed out, until an answer arrives.
BACKOFF_FACTOR = 2


class CallTimeout:
    """Timeout that follows the answer times and doubles while no answer arrives.

    :param max_ms: longest timeout in milliseconds.
    """

    def __init__(self, max_ms: int) -> None:
        self._max_ms = max_ms
        self._longest_answer_ms = 0.0
        self._backoff = 1

    @property
    def current_ms(self) -> int:
        """Timeout of the next call in milliseconds."""
        base_ms = max(MIN_TIMEOUT_MS, ANSWER_TIME_FACTOR * self._longest_answer_ms)
        return int(min(self._max_ms, base_ms * self._backoff))

    def record_answer(self, took_ms: int) -> None:
        """Record the time that an answered call took, in milliseconds."""
        self._longest_answer_ms = max(took_ms, self._longest_answer_ms * DECAY)
        self._backoff = 1

    def record_timeout(self, timeout_ms: int) -> None:
        """Record a call without an answer.

        :param timeout_ms: its timeout; one that has been exceeded since does not count,
            so that calls that time out together double the timeout once.
        """
        if timeout_ms >= self.current_ms < self._max_ms:
            self._backoff *= BACKOFF_FACTOR
