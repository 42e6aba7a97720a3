"""Policies that a burst replay compares on the same arrivals."""

import contextlib
import dataclasses
import math
import typing as t

from cranberrywheel.submission import (
    fair_shares,
    overload_order,
    placement,
    pool_plans,
    pool_sizing,
    scheduling_pass,
)
from cranberrywheel.submission.features import ALL_OFF, FeatureSettings, Switch
from cranberrywheel.submission.live import LiveSubmission, RemainingWork
from cranberrywheel.submission.queue_order import ON_TIME, compute_scheduling_key
from cranberrywheel_load.burst_load import PLANS
from cranberrywheel_load.burst_replay import BurstReplay, Cut, Measures

#: Zone that is cut off in each replay, as on the users' standard days.
CUT = Cut(33_500, 5_500, "z1")


def _first_come(
    live: LiveSubmission, remaining: RemainingWork, unix_ms: int
) -> tuple[int, int, float]:
    return 0, 0, live.submission.accepted_ms


def _least_work(
    live: LiveSubmission, remaining: RemainingWork, unix_ms: int
) -> tuple[int, int, float]:
    key = compute_scheduling_key(live, remaining, unix_ms)
    if key[0] is not ON_TIME:
        return key
    return ON_TIME, live.queue.priority, remaining.core_ms


def _scale_size(
    idle_share: float, turn_share: float
) -> t.Callable[..., tuple[int, int]]:
    """Return a rule for the size of pools on the curve of service against machines.

    :param idle_share: part of the machines beyond the floor that an idle pool keeps.
    :param turn_share: size of a pool ahead of its turn as a multiple of the forecast.
    """
    choose_size = pool_plans.choose_size

    def choose_scaled_size(*arguments: t.Any) -> tuple[int, int]:
        phase, home_count = arguments[2:4]
        wanted, keep = choose_size(*arguments)
        if phase is pool_plans.Phase.IDLE:
            wanted += round(idle_share * (home_count - wanted))
            return wanted, max(wanted, keep)
        turn_count = max(home_count, round(turn_share * keep))
        ahead = phase is pool_plans.Phase.AHEAD
        return turn_count if ahead else wanted, turn_count

    return choose_scaled_size


#: Attributes that each policy replaces, as module, name and value. ``in-force`` is the
#: product as it is.
POLICIES: dict[str, tuple[tuple[t.Any, str, t.Any], ...]] = {
    "in-force": (),
    "first-come": ((scheduling_pass, "compute_scheduling_key", _first_come),),
    "least-work": ((scheduling_pass, "compute_scheduling_key", _least_work),),
    "backlog-sizing": ((pool_sizing, "OFFERED_MARGIN", 0.0),),
    "spread": (
        (placement, "SAME_ZONE_BONUS", 0.0),
        (placement, "SAME_RACK_BONUS", 0.0),
        (placement, "SAME_EXECUTOR_BONUS", 0.0),
    ),
    "turn-forecast": (),
    "fair-shares": (),
    "fair-shares-by-objective": (
        (fair_shares, "ALLOWANCE", math.inf),
        (overload_order, "BACKLOG_FACTOR", 0.0),
    ),
    "fair-shares-by-use": (
        (fair_shares, "ALLOWANCE", -1.0),
        (overload_order, "BACKLOG_FACTOR", 0.0),
    ),
    "turn-forecast-idle-full": ((pool_plans, "choose_size", _scale_size(1.0, 1.0)),),
    "turn-forecast-idle-half": ((pool_plans, "choose_size", _scale_size(0.5, 1.0)),),
    "turn-forecast-small": ((pool_plans, "choose_size", _scale_size(0.0, 0.8)),),
    "turn-forecast-large": ((pool_plans, "choose_size", _scale_size(0.0, 1.2)),),
}
FAIR_SHARES = dataclasses.replace(ALL_OFF, fair_shares=Switch.ON)
TURN_FORECAST = dataclasses.replace(ALL_OFF, turn_forecast=Switch.ON)


def get_feature_settings(policy: str) -> FeatureSettings:
    """Return the parts of the scheduler that are on under a policy."""
    if policy.startswith("turn-forecast"):
        return TURN_FORECAST
    return FAIR_SHARES if policy.startswith("fair-shares") else ALL_OFF


@contextlib.contextmanager
def apply_policy(name: str) -> t.Iterator[None]:
    """Replace the attributes of a policy while the context lasts."""
    with contextlib.ExitStack() as stack:
        for module, attribute, value in POLICIES[name]:
            previous = getattr(module, attribute)
            setattr(module, attribute, value)
            stack.callback(setattr, module, attribute, previous)
        yield


def replay_policy(policy: str, plan: str, seeds: t.Iterable[int]) -> Measures:
    """Replay a plan under a policy and return the means over the seeds.

    :param plan: name in :data:`.burst_load.PLANS`.
    """
    with apply_policy(policy):
        settings = get_feature_settings(policy)
        rows = [
            dataclasses.astuple(
                BurstReplay(
                    PLANS[plan], seed, cuts=(CUT,), feature_settings=settings
                ).run()
            )
            for seed in seeds
        ]
    return Measures(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def format_table(rows: t.Mapping[str, Measures]) -> str:
    """Return a table with a line for each policy."""
    names = [field.name for field in dataclasses.fields(Measures)]
    width = max(map(len, rows))
    lines = [" ".join([f"{'policy':<{width}}", *(f"{name:>13}" for name in names)])]
    for policy, measures in rows.items():
        cells = (f"{value:13.3f}" for value in dataclasses.astuple(measures))
        lines.append(" ".join([f"{policy:<{width}}", *cells]))
    return "\n".join(lines)
