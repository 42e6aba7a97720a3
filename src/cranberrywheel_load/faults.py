"""Fault scenarios of the experiment, each a script that runs during the load."""

import dataclasses
import threading
import typing as t

from cranberrywheel_load.cluster import Cluster
from cranberrywheel_load.driver import monotonic_ms
from cranberrywheel_load.measures import PlannedStop

#: Time after which a failing or leaving target must receive no new work.
LEAVING_BOUND_MS = 5_000
#: Platform answers dropped per second while the fault lasts.
LOST_ANSWERS_PER_S = 3


@dataclasses.dataclass
class FaultRun:
    """Input and output of a fault script.

    :param outage_s: length of the store outage.
    :param pause_s: length of the pause; longer than a short quota lease.
    :param stops: graceful shutdowns that the script recorded.
    :param failing: failing worker and the time from which it fails, if there is one.
    :param ended: set when the load has ended.
    """

    cluster: Cluster
    outage_s: float
    pause_s: float
    stops: list[PlannedStop] = dataclasses.field(default_factory=list)
    failing: tuple[str, float] | None = None
    ended: threading.Event = dataclasses.field(default_factory=threading.Event)

    def wait(self, seconds: float) -> None:
        """Wait for a time, or until the load has ended."""
        self.ended.wait(seconds)


def inject_nothing(run: FaultRun) -> None:
    """Inject no fault."""


def kill_entry(run: FaultRun) -> None:
    """Kill an entry instance and restart it on the same ports after three seconds."""
    run.cluster.processes["entry-2"].kill()
    run.wait(3)
    run.cluster.restart("entry-2")


def pause_entry(run: FaultRun) -> None:
    """Pause an entry instance for longer than a short quota lease."""
    process = run.cluster.processes["entry-2"]
    process.pause()
    run.wait(run.pause_s)
    process.resume()


def partition_zone(run: FaultRun) -> None:
    """Isolate a zone for the length of the store outage."""
    run.cluster.partition(run.cluster.endpoints["entry-2"].zone)
    run.wait(run.outage_s)
    run.cluster.heal()


def stop_store(run: FaultRun) -> None:
    """Let the platform answer every request with 503."""
    run.cluster.set_platform_faults(outage=True)
    run.wait(run.outage_s)
    run.cluster.set_platform_faults()


def lose_answers(run: FaultRun) -> None:
    """Let the platform apply some writes each second without answering them."""
    for _ in range(round(run.outage_s)):
        run.cluster.set_platform_faults(lose_answers=LOST_ANSWERS_PER_S)
        run.wait(1)
    run.cluster.set_platform_faults()


def fail_worker(run: FaultRun) -> None:
    """Let one worker fail all tasks until the end of the run."""
    worker = next(iter(run.cluster.configuration.workers_by_name))
    run.cluster.set_worker_faults(worker, fail=True)
    run.failing = (worker, monotonic_ms())


def replace_entries(run: FaultRun) -> None:
    """Stop and restart the entry instances gracefully, one after the other."""
    for name, endpoint in list(run.cluster.endpoints.items()):
        process, start_ms = run.cluster.processes[name], monotonic_ms()
        process.terminate()
        process.wait()
        run.stops.append(PlannedStop(endpoint.url, start_ms, monotonic_ms()))
        run.cluster.restart(name)
        run.cluster.wait_until_ready(name)


def kill_entry_without_store(run: FaultRun) -> None:
    """Kill an entry instance in the middle of a store outage."""
    run.cluster.set_platform_faults(outage=True)
    run.wait(run.outage_s / 2)
    run.cluster.processes["entry-2"].kill()
    run.wait(run.outage_s / 2)
    run.cluster.set_platform_faults()
    run.cluster.restart("entry-2")


@dataclasses.dataclass(frozen=True)
class FaultScenario:
    """One scenario of the experiment.

    :param name: name in the table and on the command line.
    :param script: injects the fault and ends it.
    :param cancels_in_waves: whether all open calls are cancelled every two seconds.
    :param needs_relays: whether the script needs relays between the zones.
    """

    name: str
    script: t.Callable[[FaultRun], None]
    cancels_in_waves: bool = False
    needs_relays: bool = False


SCENARIOS = (
    FaultScenario("none", inject_nothing),
    FaultScenario("entry killed", kill_entry),
    FaultScenario("entry paused past its lease", pause_entry),
    FaultScenario("zone partitioned", partition_zone, needs_relays=True),
    FaultScenario("store down", stop_store),
    FaultScenario("answers lost after the write", lose_answers),
    FaultScenario("one worker fails everything", fail_worker),
    FaultScenario("cancellation wave", inject_nothing, cancels_in_waves=True),
    FaultScenario("entries replaced", replace_entries),
    FaultScenario("store down and entry killed", kill_entry_without_store),
)
