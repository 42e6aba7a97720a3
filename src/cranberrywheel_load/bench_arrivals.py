"""Arrivals of the policy benchmark: bursts of several teams, most of them cancelled."""

import dataclasses
import random

from cranberrywheel.request.model import Request

WORKERS = 6
SLOTS = 8
CAPACITY = WORKERS * SLOTS
#: Fractions of the capacity; all teams offer the same load.
SHARES = {"a": 0.35, "b": 0.25, "c": 0.15, "d": 0.1, "e": 0.1, "f": 0.05}
#: Each team's load alternates between five times its mean and a twentieth of it.
BURST_FACTOR, QUIET_FACTOR = 5.0, 0.05
BURST_MS, QUIET_MS = 4_000, 17_000
#: Part of the callers that cancel, and their typical patience.
CANCEL_FRACTION, PATIENCE_MS = 0.65, 300
TIMEOUT_MS = 5_000
URGENT_FRACTION = 0.05
IDEMPOTENT_FRACTION = 0.7
#: Long runs can be checkpointed.
LONG_FRACTION, LONG_MS, SHORT_MS = 0.02, 3_000, 120
MEAN_RUN_MS = LONG_FRACTION * LONG_MS + (1 - LONG_FRACTION) * SHORT_MS


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request and what only the executor and the caller know.

    :param request: the request.
    :param run_ms: how long it runs.
    :param patience_ms: how long its caller waits; the timeout or less.
    """

    request: Request
    run_ms: int
    patience_ms: int

    @property
    def can_checkpoint(self) -> bool:
        """Whether the run can be interrupted and resumed."""
        return self.run_ms >= LONG_MS // 2


def make_arrivals(load: float, seconds: int, seed: int) -> list[Arrival]:
    """Return the arrivals of all teams in order.

    :param load: mean offered work as a multiple of the capacity.
    :param seconds: length of the run.
    :param seed: fixes all random values.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    mean_per_ms = load * CAPACITY / MEAN_RUN_MS / len(SHARES)
    for team in SHARES:
        now_ms, phase_ends_ms = 0.0, 0.0
        burst = rng.random() < BURST_MS / (BURST_MS + QUIET_MS)
        while now_ms < seconds * 1000:
            phase_ends_ms = now_ms + rng.expovariate(
                1 / (BURST_MS if burst else QUIET_MS)
            )
            rate = mean_per_ms * (BURST_FACTOR if burst else QUIET_FACTOR)
            while (now_ms := now_ms + rng.expovariate(rate)) < phase_ends_ms:
                arrivals.append(_make_arrival(rng, team, int(now_ms), len(arrivals)))
            now_ms, burst = phase_ends_ms, not burst
    arrivals = [a for a in arrivals if a.request.arrived_ms < seconds * 1000]
    arrivals.sort(key=lambda arrival: arrival.request.arrived_ms)
    return arrivals


def _make_arrival(rng: random.Random, team: str, now_ms: int, number: int) -> Arrival:
    long = rng.random() < LONG_FRACTION
    mean_ms = LONG_MS if long else SHORT_MS
    # A spread of 0.5 gives a mean of exp(0.125) times the median.
    run_ms = max(1, round(mean_ms * rng.lognormvariate(-0.125, 0.5)))
    patience_ms = TIMEOUT_MS
    if rng.random() < CANCEL_FRACTION:
        patience_ms = min(TIMEOUT_MS, round(PATIENCE_MS * rng.lognormvariate(0, 1)))
    request = Request(
        request_id=f"request-{number}",
        queue="long" if long else "short",
        service="service",
        team=team,
        body=b"",
        content_type="",
        arrived_ms=now_ms,
        deadline_ms=now_ms + TIMEOUT_MS,
        idempotent=rng.random() < IDEMPOTENT_FRACTION,
        urgent=not long and rng.random() < URGENT_FRACTION,
    )
    return Arrival(request, run_ms, patience_ms)
