"""Metrics of a run, computed from its histories and call results."""

import collections
import dataclasses
import datetime
import pathlib
import re
import time
import typing as t

from cranberrywheel.version.configuration import Configuration
from cranberrywheel_load.driver import CallResult
from cranberrywheel_load.processes import START_LINE
from cranberrywheel_load.report import compute_percentiles, compute_useful_fraction
from cranberrywheel_spec.history import check
from cranberrywheel_spec.history_events import (
    Adopt,
    History,
    Invoke,
    TaskEnd,
    TaskStart,
    parse_lines,
)

#: Length of the windows in which the closeness to the share is computed.
WINDOW_MS = 1_000


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """A graceful shutdown of an entry instance during a run.

    :param entry: base URL of the instance.
    """

    entry: str
    start_ms: float
    end_ms: float


def read_events(folder: pathlib.Path) -> list[t.Any]:
    """Read all history files of a run and the configuration adoptions in its logs."""
    events: list[t.Any] = []
    for path in sorted(folder.glob("entry-*.log")):
        events += parse_adoptions(path.stem, path.read_text(errors="replace"))
    for path in sorted(folder.glob("*.history")):
        events += parse_lines(path.read_text().splitlines(True), path.name)
    return events


#: Messages of curl for a connection that was not accepted.
_CONNECT_FAILURE = re.compile("refused|connect to", re.IGNORECASE)
_ADOPTION_LINE = re.compile(
    r"^I(\d{4} [\d:.]+) .*adopted configuration version=(\d+)", re.MULTILINE
)


def parse_adoptions(name: str, log: str) -> list[Adopt]:
    """Return the configuration versions that an entry instance logged as adopted.

    Log lines carry wall-clock times. They are converted with the current offset to
    the monotonic clock, which keeps the order within a process.

    :param name: name of the instance; each of its starts is a separate process.
    :param log: content of its log file.
    """
    offset_ms = (time.time_ns() - time.monotonic_ns()) / 1e6
    year = datetime.date.today().year
    events = []
    for number, process_log in enumerate(log.split(START_LINE)[1:]):
        for stamp, version in _ADOPTION_LINE.findall(process_log):
            at = datetime.datetime.strptime(f"{year}{stamp}", "%Y%m%d %H:%M:%S.%f")
            events.append(
                Adopt(
                    event="adopt",
                    at_ms=at.timestamp() * 1000 - offset_ms,
                    process=f"{name}#{number}",
                    version=int(version),
                )
            )
    return events


Interval = tuple[float, float, str]
"""Start and end in milliseconds, and team, of a task or a call."""


def compute_mean_counts(
    intervals: t.Iterable[Interval], start_ms: float, end_ms: float
) -> dict[str, float]:
    """Return the mean number of concurrent intervals of each team in a window."""
    open_ms: dict[str, float] = collections.defaultdict(float)
    for begin, end, team in intervals:
        open_ms[team] += max(0.0, min(end, end_ms) - max(begin, start_ms))
    return {team: ms / (end_ms - start_ms) for team, ms in open_ms.items() if ms}


def compute_closeness(
    used_slots: t.Mapping[str, float],
    demand: t.Mapping[str, float],
    shares: t.Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return min(1, used / min(share x capacity, demand)) for teams with demand."""
    return {
        team: min(1.0, used_slots.get(team, 0.0) / wanted)
        for team, share in shares.items()
        if (wanted := min(share * capacity, demand.get(team, 0.0))) > 0
    }


def _list_call_intervals(results: t.Sequence[CallResult]) -> dict[str, list[Interval]]:
    """Return by queue the intervals from the first attempt of work to its last end."""
    spans: dict[tuple[str, str, str], tuple[float, float]] = {}
    for result in results:
        key = (result.queue, result.team, result.work)
        begin, end = spans.get(key, (result.sent_ms, result.done_ms))
        spans[key] = (min(begin, result.sent_ms), max(end, result.done_ms))
    by_queue: dict[str, list[Interval]] = collections.defaultdict(list)
    for (queue, team, _), (begin, end) in spans.items():
        by_queue[queue].append((begin, end, team))
    return by_queue


def _list_task_intervals(history: History) -> dict[str, list[Interval]]:
    by_queue: dict[str, list[Interval]] = collections.defaultdict(list)
    last_ms = history.events[-1].at_ms if history.events else 0.0
    for start in history.select(TaskStart):
        end = history.ends_by_task.get(start.task)
        end_ms = end.at_ms if end else last_ms
        by_queue[start.queue].append((start.at_ms, end_ms, start.team))
    return by_queue


def compute_share_closeness(
    history: History, results: t.Sequence[CallResult], configuration: Configuration
) -> dict[str, float]:
    """Return the mean closeness to the share of each team over saturated windows.

    A window of a service is saturated if its mean number of open calls is at least
    the number of its slots.
    """
    calls, tasks = _list_call_intervals(results), _list_task_intervals(history)
    shares = {n: x.share for n, x in configuration.teams_by_name.items()}
    closeness_by_team: dict[str, list[float]] = collections.defaultdict(list)
    times = [e.at_ms for e in history.select(Invoke)] or [0.0]
    for service in configuration.services_by_name.values():
        pool = configuration.pools_by_name[service.pool]
        capacity = len(pool.worker_names) * pool.slots_per_executor
        queues = [
            q.name
            for q in configuration.queues_by_name.values()
            if q.service == service.name
        ]
        service_calls = [i for q in queues for i in calls.get(q, [])]
        service_tasks = [i for q in queues for i in tasks.get(q, [])]
        start_ms = min(times)
        while start_ms < max(times):
            window = (start_ms, start_ms + WINDOW_MS)
            demand = compute_mean_counts(service_calls, *window)
            if sum(demand.values()) >= capacity:
                used_slots = compute_mean_counts(service_tasks, *window)
                for team, value in compute_closeness(
                    used_slots, demand, shares, capacity
                ).items():
                    closeness_by_team[team].append(value)
            start_ms += WINDOW_MS
    return {
        team: sum(values) / len(values) for team, values in closeness_by_team.items()
    }


def compute_urgent_start_times(
    history: History, configuration: Configuration
) -> dict[str, float]:
    """Return percentiles of the time from an urgent call to its first task start."""
    waits = []
    for invoke in history.select(Invoke):
        work = history.get_work_id(invoke.request)
        first = min(e.at_ms for e in history.invokes_by_work_id[work])
        starts = history.starts_by_work_id.get(work)
        if not configuration.queues_by_name[invoke.queue].urgent or not starts:
            continue
        if invoke.at_ms == first:
            waits.append(starts[0].at_ms - first)
    return compute_percentiles(waits)


def find_peak_running(history: History) -> dict[str, int]:
    """Return the peak number of concurrently running tasks of each team."""
    changes = []
    for intervals in _list_task_intervals(history).values():
        for begin, end, team in intervals:
            changes += [(begin, 1, team), (end, -1, team)]
    running: dict[str, int] = collections.Counter()
    most: dict[str, int] = collections.Counter()
    for _, change, team in sorted(changes):
        running[team] += change
        most[team] = max(most[team], running[team])
    most.pop("", None)
    return dict(most)


def find_max_runs_per_ticket(history: History) -> int:
    """Return the maximum number of task starts of any ticket."""
    tickets = {e.ticket for e in history.select(Invoke) if e.ticket}
    return max((len(history.starts_by_work_id.get(x, [])) for x in tickets), default=0)


def count_calls_cut_by_stops(
    results: t.Sequence[CallResult], stops: t.Sequence[PlannedStop]
) -> int:
    """Return the number of accepted calls that were broken by a planned stop."""
    return sum(
        result.outcome == "broken"
        and not _CONNECT_FAILURE.search(result.kind)
        and any(
            s.entry == result.entry and s.start_ms <= result.done_ms <= s.end_ms
            for s in stops
        )
        for result in results
    )


def count_starts_after_failure(
    history: History, worker: str, since_ms: float, bound_ms: float
) -> int:
    """Return the number of tasks started too late on a failing worker.

    :param since_ms: time from which the worker fails all tasks.
    :param bound_ms: time after its first failed task from which starts count.
    """
    failed_ms = [
        end.at_ms
        for end in history.select(TaskEnd)
        if end.worker == worker and end.how == "failed" and end.at_ms >= since_ms
    ]
    if not failed_ms:
        return 0
    return sum(
        start.worker == worker and start.at_ms > min(failed_ms) + bound_ms
        for start in history.select(TaskStart)
    )


@dataclasses.dataclass
class Figures:
    """Metrics of one run of an experiment.

    :param useful: run time answered ``ok`` divided by the requested run time.
    :param closeness: lowest mean closeness to the share of any team.
    :param urgent_ms: percentiles of the start times of urgent calls.
    :param runs_per_ticket: maximum number of task starts of any ticket.
    :param peak: peak number of concurrently running tasks by team.
    :param over_limit: teams whose peak exceeds their limit.
    :param false_not_run: number of ``not-run`` answers to requests that ran.
    :param cut: number of accepted calls that were broken by planned stops.
    :param late_work: number of tasks started on leaving or failing workers after the
        bound.
    :param violations: one line for each history rule that was violated.
    """

    useful: float
    closeness: float
    urgent_ms: dict[str, float]
    runs_per_ticket: int
    peak: dict[str, int]
    over_limit: list[str]
    false_not_run: int
    cut: int
    late_work: int
    violations: list[str]


def compute_figures(
    events: list[t.Any],
    results: t.Sequence[CallResult],
    configuration: Configuration,
    stops: t.Sequence[PlannedStop] = (),
    late_work: int = 0,
) -> Figures:
    """Compute all metrics of one run.

    :param late_work: number of late starts on failing workers; the late starts on
        leaving workers that the history checker finds are added.
    """
    history = History(events)
    verdicts = {v.rule: v for v in check(events)}
    closeness_by_team = compute_share_closeness(history, results, configuration)
    peak = find_peak_running(history)
    return Figures(
        useful=compute_useful_fraction(results),
        closeness=min(closeness_by_team.values(), default=1.0),
        urgent_ms=compute_urgent_start_times(history, configuration),
        runs_per_ticket=find_max_runs_per_ticket(history),
        peak=peak,
        over_limit=sorted(
            team
            for team, count in peak.items()
            if count > configuration.teams_by_name[team].limit
        ),
        false_not_run=len(verdicts["true-not-run"].violations),
        cut=count_calls_cut_by_stops(results, stops),
        late_work=late_work + len(verdicts["leaving"].violations),
        violations=[v.format_line() for v in verdicts.values() if v.violations],
    )
