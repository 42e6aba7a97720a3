"""Term of the placement score that packs long-running tasks on few machines.

Load pattern: long-running tasks of several steps share machines, so that the other
machines of their pool become empty, until the tail latency of one of them suffers.
"""

import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import RunState, StepRun

#: Fraction of ``target_ms`` from which nothing more is packed on an executor. Reports
#: are rough, and a further neighbour raises the tail latency.
STRAINED_LOAD = 0.8
#: Subtracted from the score of an executor for a long-running task outside the packed
#: machines. It outweighs all other terms, the one of a suspect executor included.
PACKING_PENALTY = 40.0


def is_strained(executor: Executor) -> bool:
    """Tell whether the tail latency of a task on an executor is near its limit."""
    if not executor.latency_sensitive_count:
        return False
    return any(
        run.load > STRAINED_LOAD * run.task.step_run.step.target_ms > 0
        for run in executor.runs.values()
        if run.state is RunState.RUNNING
    )


def compute_packing_score(
    executor: Executor, step_run: StepRun, packed: t.Container[str]
) -> float:
    """Return the term of the placement score that packs long-running tasks.

    Tasks with a preferred rack, and executors whose tasks are near their latency limit,
    are not packed.

    :param packed: ids of the machines on which the pool packs them.
    """
    step = step_run.step
    if step.data_rack or step.colocate:
        return 0.0
    if executor.entry.machine in packed and not is_strained(executor):
        return 0.0
    return -PACKING_PENALTY
