"""Shares of the organisations when a pool is full.

Load pattern: one organisation suddenly sends many times its usual. Ordered by the end
of its objective alone, its work takes the capacity that the others need, and everybody
is late. Work beyond the share of its organisation therefore waits behind other work.
"""

#: Time for which an unused share is kept, in milliseconds. It covers the bursts of an
#: organisation that stays within its share on average.
BURST_MS = 2_000


class OrganisationShares:
    """Token buckets that fill with the rate of each organisation's share."""

    def __init__(self) -> None:
        self._tokens_by_name: dict[str, float] = {}
        self._updated_ms_by_name: dict[str, int] = {}

    def take(self, organisation: str, rate: float, now_ms: int) -> bool:
        """Count a submission and tell whether it is within its organisation's share.

        :param rate: submissions per second that the share covers.
        :param now_ms: steady time in milliseconds.
        """
        limit = max(1.0, rate * BURST_MS / 1_000)
        elapsed_ms = now_ms - self._updated_ms_by_name.get(organisation, now_ms)
        tokens = self._tokens_by_name.get(organisation, limit)
        tokens = min(limit, tokens + rate * elapsed_ms / 1_000)
        is_within = tokens >= 1.0
        self._tokens_by_name[organisation] = tokens - 1.0 if is_within else tokens
        self._updated_ms_by_name[organisation] = now_ms
        return is_within
