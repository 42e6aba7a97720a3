"""Estimated effect of one image on another, and what may be concluded from it.

Load pattern: effects change within seconds, and single executors report falsely.
"""

import dataclasses
import enum

#: Time in which evidence halves; the platform's effects change within seconds.
HALF_LIFE_MS = 4_000
#: Expected effect of an image that was never observed, and its standard deviation:
#: natural logarithms of the factor by which the tail latency rises.
PRIOR_EFFECT = 0.25
PRIOR_DEVIATION = 0.5
#: Effect from which a neighbour counts as disturbing: 22% more latency, about the
#: difference between two readings of one run.
DISTURBING_EFFECT = 0.2
#: Confidence that a new verdict needs, and that an existing one needs to remain. The
#: difference keeps a verdict from changing with single readings.
VERDICT_CONFIDENCE = 0.6
KEEP_CONFIDENCE = 0.4
#: Standard errors by which an effect must exceed :data:`DISTURBING_EFFECT`. Where the
#: own loads of runs differ by half, 1.0 gave a false verdict in 4 of 30 simulated runs
#: of 12 s without any effect, and 1.5 in 1.
VERDICT_ERRORS = 1.5
#: Executors that must show an effect on their own: one alone may report falsely.
MIN_WITNESSES = 2
#: Executors remembered per pair, and for how long.
MAX_WITNESSES = 16
WITNESS_MS = 2 * HALF_LIFE_MS


class Verdict(enum.Enum):
    """What is known about a pair; ``UNKNOWN`` pairs are treated as by the prior."""

    UNKNOWN = "unknown"
    DISTURBING = "disturbing"
    HARMLESS = "harmless"


@dataclasses.dataclass(slots=True)
class PairEstimate:
    """Estimated effect of one image on another.

    :param effect: natural logarithm of the factor by which one run at full speed
        raises the tail latency.
    :param error: standard error of the effect.
    :param readings: number of readings with the neighbour, with decay.
    :param effect_by_witness: for each executor, its own effect and when it was read.
    :param slowed: times that the disturbing image was slowed for this pair.
    :param spared: times that it was not, because it is harmless.
    :param moved: runs of it that moved away for this pair.
    """

    effect: float = PRIOR_EFFECT
    error: float = PRIOR_DEVIATION
    readings: float = 0.0
    verdict: Verdict = Verdict.UNKNOWN
    effect_by_witness: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    slowed: int = 0
    spared: int = 0
    moved: int = 0

    @property
    def confidence(self) -> float:
        """Part of the prior's variance that evidence has removed, from 0 to 1."""
        return max(0.0, 1 - (self.error / PRIOR_DEVIATION) ** 2)


def record_witness(
    pair: PairEstimate, executor_id: str, effect: float, now_ms: int
) -> None:
    """Update the effect that one executor shows on its own.

    :param effect: effect in its last reading.
    :param now_ms: steady time in milliseconds.
    """
    witnesses = pair.effect_by_witness
    if executor_id in witnesses:
        effect = (effect + witnesses.pop(executor_id)[0]) / 2
    witnesses[executor_id] = (effect, now_ms)  # the oldest comes first
    if len(witnesses) > MAX_WITNESSES:
        del witnesses[next(iter(witnesses))]


def update_verdict(pair: PairEstimate, now_ms: int) -> None:
    """Forget old witnesses and conclude anew.

    :param now_ms: steady time in milliseconds.
    """
    witnesses = {
        executor_id: row
        for executor_id, row in pair.effect_by_witness.items()
        if now_ms - row[1] <= WITNESS_MS
    }
    pair.effect_by_witness = witnesses
    effects = [effect for effect, _ in witnesses.values()]
    needed = max(MIN_WITNESSES, len(effects) // 2 + 1)
    is_kept = pair.verdict is Verdict.DISTURBING
    margin = 0.0 if is_kept else VERDICT_ERRORS * pair.error
    verdict = Verdict.UNKNOWN
    if (
        pair.effect - margin >= DISTURBING_EFFECT
        and pair.confidence >= (KEEP_CONFIDENCE if is_kept else VERDICT_CONFIDENCE)
        and sum(effect >= DISTURBING_EFFECT for effect in effects) >= needed
    ):
        verdict = Verdict.DISTURBING
    elif (
        pair.effect + pair.error <= DISTURBING_EFFECT
        and pair.confidence >= VERDICT_CONFIDENCE
        and sum(effect < DISTURBING_EFFECT for effect in effects) >= needed
    ):
        verdict = Verdict.HARMLESS
    pair.verdict = verdict
