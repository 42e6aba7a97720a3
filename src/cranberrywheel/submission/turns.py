"""Turns of callers that were refused and told when to return.

Load pattern: hundreds of callers are refused within a second. If each of them were told
the same time, they would return together and be refused again. Each turn therefore
reserves the work of its submission, so that the next caller is told a later time.
"""

import dataclasses

#: Largest number of turns that a process remembers: 30 s of refusals at 130 a second.
MAX_TURNS = 4_000
#: How much earlier than told a caller may return: timers of callers are not exact.
DUE_TOLERANCE_MS = 50
#: Shortest time for which a turn is kept after it is due: callers' timers and
#: connections may take a second or two.
MIN_KEEP_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """Promise to a refused caller. Times are steady milliseconds.

    :param core_ms: expected work of the submission, in core-milliseconds.
    :param refused_ms: when it was first refused.
    :param due_ms: from when on it is accepted.
    :param expires_ms: until when its place is kept.
    """

    service: str
    core_ms: float
    refused_ms: int
    due_ms: int
    expires_ms: int

    @classmethod
    def promise(
        cls, service: str, core_ms: float, retry_after_s: int, now_ms: int
    ) -> "Turn":
        """Return a turn that is kept for as long again as the caller must wait."""
        wait_ms = 1_000 * retry_after_s
        due_ms = now_ms + wait_ms
        return cls(service, core_ms, now_ms, due_ms, due_ms + max(MIN_KEEP_MS, wait_ms))

    def is_due(self, now_ms: int) -> bool:
        """Tell whether the caller may return now."""
        return now_ms >= self.due_ms - DUE_TOLERANCE_MS


class Turns:
    """Turns by submission id; at most ``limit`` of them."""

    def __init__(self, limit: int = MAX_TURNS) -> None:
        self._limit = limit
        self.by_id: dict[str, Turn] = {}

    def find(self, submission_id: str, now_ms: int) -> Turn | None:
        """Return the turn of a submission unless it has expired."""
        turn = self.by_id.get(submission_id)
        return turn if turn is not None and now_ms <= turn.expires_ms else None

    def put(self, submission_id: str, turn: Turn, now_ms: int) -> None:
        """Record a turn; without room, those that expire first are forgotten."""
        self.by_id[submission_id] = turn
        if len(self.by_id) <= self._limit:
            return
        by_expiry = sorted(self.by_id, key=lambda key: self.by_id[key].expires_ms)
        expired = sum(row.expires_ms < now_ms for row in self.by_id.values())
        # Several at a time, so that a full memory is not sorted for each refusal.
        for key in by_expiry[: max(expired, 1 + self._limit // 16)]:
            del self.by_id[key]

    def end(self, submission_id: str) -> bool:
        """Forget the turn of an accepted submission; false if it has none."""
        return self.by_id.pop(submission_id, None) is not None

    def sum_core_ms(self, service: str, now_ms: int, before: Turn | None) -> float:
        """Return the promised work of a pool, in core-milliseconds.

        :param before: count only turns that are due before this one; ``None``: all.
        """
        return sum(
            turn.core_ms
            for turn in self.by_id.values()
            if turn.service == service
            and now_ms <= turn.expires_ms
            and (before is None or turn.due_ms < before.due_ms)
        )
