"""Age of the newest proof that no accepted key withdrawal is unknown here."""


class FreshnessTracker:
    """Keeps the newest proof; see docs/design.md, "Key freshness"."""

    def __init__(self) -> None:
        self._taken_ms: int | None = None

    def record_proof(self, taken_ms: int) -> bool:
        """Note a proof; older ones than the newest change nothing.

        :param taken_ms: own clock reading at which the keys were current.
        :returns: whether it is newer than all before.
        """
        if self._taken_ms is not None and taken_ms <= self._taken_ms:
            return False
        self._taken_ms = taken_ms
        return True

    def is_fresh(self, now_ms: int, bound_ms: int) -> bool:
        """Tell whether the newest proof is younger than a bound.

        :param now_ms: own clock reading.
        :param bound_ms: age from which a proof no longer counts.
        """
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < bound_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the newest proof.

        :param now_ms: own clock reading.
        :returns: milliseconds, or ``None`` without any proof.
        """
        return None if self._taken_ms is None else max(0, now_ms - self._taken_ms)
