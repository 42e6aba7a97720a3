"""Generates request arrivals for the policy benchmark.

Teams send in bursts, and in most workloads most requests are cancelled.
"""

import dataclasses
import random
import typing as t

from cranberrywheel.request.model import Request

WORKERS = 6
#: Slots of each worker.
SLOTS = 8
CAPACITY = WORKERS * SLOTS
#: Share of each team as a fraction of the capacity.
SIX_SHARES = {"a": 0.35, "b": 0.25, "c": 0.15, "d": 0.1, "e": 0.1, "f": 0.05}
#: Each team's load alternates between five times its mean and a twentieth of it.
#: ``BURST_MS`` and ``QUIET_MS`` are the mean lengths of the phases.
BURST_FACTOR, QUIET_FACTOR = 5.0, 0.05
BURST_MS, QUIET_MS = 4_000, 17_000
#: Relative sizes of 51 teams: a few large ones, and more teams than slots.
_TEAM_SIZES = {f"team-{number}": 1 / (number + 2) for number in range(51)}
MANY_SHARES = {
    team: size / sum(_TEAM_SIZES.values()) for team, size in _TEAM_SIZES.items()
}
#: Median time after which a caller cancels, if it cancels.
MEDIAN_CANCEL_MS = 300
IDEMPOTENT_FRACTION = 0.7
#: Mean run time of short requests.
SHORT_RUN_MS = 120


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Mix of requests.

    :param cancel_fraction: fraction of the callers that cancel.
    :param urgent_fraction: fraction of the short requests that are urgent.
    :param long_fraction: fraction of the requests that are long; these can be
        checkpointed.
    :param long_ms: mean run time of the long requests.
    :param timeout_ms: time from arrival to deadline.
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
        return (
            self.long_fraction * self.long_ms + (1 - self.long_fraction) * SHORT_RUN_MS
        )


WORKLOADS = {
    "cancelled": Workload(
        cancel_fraction=0.65,
        urgent_fraction=0.05,
        long_fraction=0.02,
        long_ms=3_000,
        timeout_ms=5_000,
    ),
    # Deadlines shorter than the wait in a full queue, so that the predicted wait
    # decides about admission.
    "tight": Workload(
        cancel_fraction=0.65,
        urgent_fraction=0.05,
        long_fraction=0.02,
        long_ms=3_000,
        timeout_ms=1_000,
    ),
    # More teams with waiting requests than slots at any time.
    "many-teams": Workload(
        cancel_fraction=0.65,
        urgent_fraction=0.05,
        long_fraction=0.02,
        long_ms=3_000,
        timeout_ms=5_000,
        shares=MANY_SHARES,
        steady=True,
    ),
    # Batch jobs such as stock counts and catalogue rebuilds, which are never
    # cancelled, occupy the slots.
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
    """One request, with properties that the scheduler does not see.

    :param run_ms: run time on a healthy worker.
    :param cancel_after_ms: time from arrival until the caller cancels; the timeout or
        less.
    :param can_checkpoint: whether the run can be interrupted and resumed.
    """

    request: Request
    run_ms: int
    cancel_after_ms: int
    can_checkpoint: bool


def make_arrivals(
    workload: Workload, load: float, seconds: int, seed: int
) -> list[Arrival]:
    """Generate the arrivals of all teams, in order of time.

    :param workload: mix of requests.
    :param load: mean offered load as a multiple of the capacity.
    :param seconds: length of the run.
    :param seed: the same seed gives the same arrivals.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    mean_rate_per_ms = load * CAPACITY / workload.mean_run_ms / len(workload.shares)
    for team in workload.shares:
        now_ms, phase_ends_ms = 0.0, 0.0
        burst = rng.random() < BURST_MS / (BURST_MS + QUIET_MS)
        while now_ms < seconds * 1000:
            phase_ends_ms = now_ms + rng.expovariate(
                1 / (BURST_MS if burst else QUIET_MS)
            )
            factor = BURST_FACTOR if burst else QUIET_FACTOR
            rate_per_ms = mean_rate_per_ms * (1 if workload.steady else factor)
            while (now_ms := now_ms + rng.expovariate(rate_per_ms)) < phase_ends_ms:
                number = len(arrivals)
                arrivals.append(_make_arrival(workload, rng, team, int(now_ms), number))
            now_ms, burst = phase_ends_ms, not burst
    arrivals = [
        arrival for arrival in arrivals if arrival.request.arrived_ms < seconds * 1000
    ]
    arrivals.sort(key=lambda arrival: arrival.request.arrived_ms)
    return arrivals


def _make_arrival(
    workload: Workload, rng: random.Random, team: str, now_ms: int, number: int
) -> Arrival:
    long = rng.random() < workload.long_fraction
    mean_ms = workload.long_ms if long else SHORT_RUN_MS
    # With sigma = 0.5, the mean of a log-normal value is exp(0.125) times the median;
    # mu = -0.125 makes the mean equal to mean_ms.
    run_ms = max(1, round(mean_ms * rng.lognormvariate(-0.125, 0.5)))
    cancel_after_ms = workload.timeout_ms
    if rng.random() < workload.cancel_fraction:
        cancel_after_ms = round(MEDIAN_CANCEL_MS * rng.lognormvariate(0, 1))
    cancel_after_ms = min(workload.timeout_ms, cancel_after_ms)
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
    return Arrival(request, run_ms, cancel_after_ms, can_checkpoint=long)
