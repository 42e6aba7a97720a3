"""Arrivals of the policy benchmark: bursts of several teams, most of them cancelled."""

import dataclasses
import random
import typing as t

from cranberrywheel.request.model import Request

WORKERS = 6
SLOTS = 8
CAPACITY = WORKERS * SLOTS
#: Fractions of the capacity.
SIX_SHARES = {"a": 0.35, "b": 0.25, "c": 0.15, "d": 0.1, "e": 0.1, "f": 0.05}
#: Each team's load alternates between five times its mean and a twentieth of it.
BURST_FACTOR, QUIET_FACTOR = 5.0, 0.05
BURST_MS, QUIET_MS = 4_000, 17_000
#: Some large teams and more small ones than there are slots.
_SIZES = {f"team-{number}": 1 / (number + 2) for number in range(51)}
MANY_SHARES = {team: size / sum(_SIZES.values()) for team, size in _SIZES.items()}
PATIENCE_MS = 300
IDEMPOTENT_FRACTION = 0.7
SHORT_MS = 120


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Mix of requests.

    :param cancel_fraction: part of the callers that cancel.
    :param urgent_fraction: part of the short requests that are urgent.
    :param long_fraction: part of the requests that run long.
    :param long_ms: mean of their run time; they can be checkpointed.
    :param timeout_ms: how long patient callers wait.
    :param shares: share of each team; all teams offer the same load.
    :param steady: whether the load of each team is constant.
    """

    cancel_fraction: float
    urgent_fraction: float
    long_fraction: float
    long_ms: int
    timeout_ms: int
    shares: t.Mapping[str, float] = dataclasses.field(default_factory=SIX_SHARES.copy)
    steady: bool = False

    @property
    def mean_run_ms(self) -> float:
        """Mean run time of all requests."""
        return self.long_fraction * self.long_ms + (1 - self.long_fraction) * SHORT_MS


WORKLOADS = {
    "cancelled": Workload(
        cancel_fraction=0.65,
        urgent_fraction=0.05,
        long_fraction=0.02,
        long_ms=3_000,
        timeout_ms=5_000,
    ),
    # Deadlines shorter than the full queue, so that the predicted wait decides.
    "tight": Workload(
        cancel_fraction=0.65,
        urgent_fraction=0.05,
        long_fraction=0.02,
        long_ms=3_000,
        timeout_ms=1_000,
    ),
    # More waiting teams than slots, all the time.
    "many-teams": Workload(
        cancel_fraction=0.65,
        urgent_fraction=0.05,
        long_fraction=0.02,
        long_ms=3_000,
        timeout_ms=5_000,
        shares=MANY_SHARES,
        steady=True,
    ),
    # Stock counts and catalogue rebuilds, which nobody cancels, fill the slots.
    "overnight": Workload(
        cancel_fraction=0.0,
        urgent_fraction=0.2,
        long_fraction=0.5,
        long_ms=20_000,
        timeout_ms=120_000,
    ),
}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request and what only the executor and the caller know.

    :param request: the request.
    :param run_ms: how long it runs.
    :param patience_ms: how long its caller waits; the timeout or less.
    :param can_checkpoint: whether the run can be interrupted and resumed.
    """

    request: Request
    run_ms: int
    patience_ms: int
    can_checkpoint: bool


def make_arrivals(
    workload: Workload, load: float, seconds: int, seed: int
) -> list[Arrival]:
    """Return the arrivals of all teams in order.

    :param workload: mix of requests.
    :param load: mean offered work as a multiple of the capacity.
    :param seconds: length of the run.
    :param seed: fixes all random values.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    mean_per_ms = load * CAPACITY / workload.mean_run_ms / len(workload.shares)
    for team in workload.shares:
        now_ms, phase_ends_ms = 0.0, 0.0
        burst = rng.random() < BURST_MS / (BURST_MS + QUIET_MS)
        while now_ms < seconds * 1000:
            phase_ends_ms = now_ms + rng.expovariate(
                1 / (BURST_MS if burst else QUIET_MS)
            )
            factor = BURST_FACTOR if burst else QUIET_FACTOR
            rate = mean_per_ms * (1 if workload.steady else factor)
            while (now_ms := now_ms + rng.expovariate(rate)) < phase_ends_ms:
                number = len(arrivals)
                arrivals.append(_make_arrival(workload, rng, team, int(now_ms), number))
            now_ms, burst = phase_ends_ms, not burst
    arrivals = [a for a in arrivals if a.request.arrived_ms < seconds * 1000]
    arrivals.sort(key=lambda arrival: arrival.request.arrived_ms)
    return arrivals


def _make_arrival(
    workload: Workload, rng: random.Random, team: str, now_ms: int, number: int
) -> Arrival:
    long = rng.random() < workload.long_fraction
    mean_ms = workload.long_ms if long else SHORT_MS
    # A spread of 0.5 gives a mean of exp(0.125) times the median.
    run_ms = max(1, round(mean_ms * rng.lognormvariate(-0.125, 0.5)))
    patience_ms = workload.timeout_ms
    if rng.random() < workload.cancel_fraction:
        patience_ms = round(PATIENCE_MS * rng.lognormvariate(0, 1))
    patience_ms = min(workload.timeout_ms, patience_ms)
    request = Request(
        request_id=f"request-{number}",
        queue="long" if long else "short",
        service="service",
        team=team,
        body=b"",
        content_type="",
        arrived_ms=now_ms,
        deadline_ms=now_ms + workload.timeout_ms,
        idempotent=rng.random() < IDEMPOTENT_FRACTION,
        urgent=not long and rng.random() < workload.urgent_fraction,
    )
    return Arrival(request, run_ms, patience_ms, can_checkpoint=long)
