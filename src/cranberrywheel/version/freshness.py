"""Age of the newest freshness proof.

A freshness proof shows that this process knew every accepted key revocation at a given
time.
"""


class FreshnessTracker:
    """Keeps the newest freshness proof; see docs/design.md, "Key freshness"."""

    def __init__(self) -> None:
        self._proof_taken_ms: int | None = None

    def record_proof(self, taken_ms: int) -> bool:
        """Record a freshness proof; ignored if a newer one is known.

        :param taken_ms: local clock reading in milliseconds at which the keys were
            current.
        :returns: whether the proof is newer than all earlier ones.
        """
        if self._proof_taken_ms is not None and taken_ms <= self._proof_taken_ms:
            return False
        self._proof_taken_ms = taken_ms
        return True

    def is_fresh(self, now_ms: int, bound_ms: int) -> bool:
        """Return whether the newest proof is younger than a bound.

        :param now_ms: local clock reading in milliseconds.
        :param bound_ms: age in milliseconds from which a proof is out of date.
        """
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < bound_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the newest proof.

        :param now_ms: local clock reading in milliseconds.
        :returns: milliseconds, or ``None`` if there is no proof yet.
        """
        return (
            None
            if self._proof_taken_ms is None
            else max(0, now_ms - self._proof_taken_ms)
        )
