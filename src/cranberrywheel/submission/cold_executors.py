"""Work on executors that have just come back and are slow for a time.

Load pattern: the executors of a zone come back together and cold, after an evacuation
or a power loss, while the other zones are full. Placement would send a whole burst to
the empty executors, which are slow at that moment.
"""

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run
from cranberrywheel.submission.model import Step

#: Subtracted from the score of a cold executor: more than the largest bonus of the
#: zone, rack and executor of a submission together, less than the penalty of a suspect
#: one.
COLD_PENALTY = 12.0
#: Cpu of the runs that may begin on a cold executor, as a multiple of its capacity
#: times the part of its cold time that has passed. The platform tolerates a factor of 5
#: by a rule that is not documented; half of it leaves room for a different measure.
COLD_START_FACTOR = 2.5
#: Increase of the remaining time from which an executor counts as cold anew.
RESTART_TOLERANCE_MS = 500


def note_cold(executor: Executor, remaining_ms: int, now_ms: int) -> None:
    """Record how much longer an executor is slow.

    :param remaining_ms: time in milliseconds as its entry states it; 0 if it is warm.
    :param now_ms: steady time in milliseconds.
    """
    if remaining_ms <= 0:
        executor.cold_until_ms = min(executor.cold_until_ms, now_ms)
        return
    until_ms = now_ms + remaining_ms
    if (
        executor.cold_until_ms <= now_ms
        or until_ms > executor.cold_until_ms + RESTART_TOLERANCE_MS
    ):
        executor.cold_since_ms = now_ms
        executor.cold_started_cpu = 0
    executor.cold_until_ms = until_ms


def may_start_cold(executor: Executor, step: Step, now_ms: int) -> bool:
    """Tell whether a cold executor is warm enough for another run of a step."""
    warmed = (now_ms - executor.cold_since_ms) / max(
        1, executor.cold_until_ms - executor.cold_since_ms
    )
    allowed_cpu = COLD_START_FACTOR * warmed * executor.entry.capacity.cpu
    return executor.cold_started_cpu + step.size.cpu <= allowed_cpu


def ran_cold(executor: Executor, run: Run) -> bool:
    """Tell whether a run was slowed by a cold executor."""
    return executor.cold_until_ms > run.started_ms
