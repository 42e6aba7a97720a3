import testtools

from cranberrywheel_load.driver import CallResult
from cranberrywheel_load.measures import (
    PlannedStop,
    compute_closeness,
    compute_mean_counts,
    count_calls_cut_by_stops,
    count_starts_after_failure,
    find_max_runs_per_ticket,
    find_peak_running,
    parse_adoptions,
)
from cranberrywheel_load.processes import START_LINE
from cranberrywheel_load.report import compute_useful_fraction
from cranberrywheel_spec.history_events import History, Invoke, TaskEnd, TaskStart


def result(**fields):
    values = {"request": "r", "work": "w", "queue": "q", "team": "a", "entry": "e1"}
    return CallResult(**{**values, "run_ms": 100, "sent_ms": 0.0, **fields})


def start(at_ms, task, request="r"):
    fields = {"worker": "w", "task": task, "request": request, "team": "a"}
    return TaskStart(at_ms=at_ms, event="task_start", queue="q", **fields)


def end(at_ms, task):
    return TaskEnd(at_ms=at_ms, event="task_end", worker="w", task=task, how="finished")


class MeasuresTest(testtools.TestCase):
    def test_work_counts_once_regardless_of_attempts(self):
        """Guards against retries and cancellations distorting the useful fraction."""
        results = [
            result(work="a", outcome="unknown"),
            result(work="a", outcome="ok"),
            result(work="b", outcome="broken"),
            result(work="c", outcome="cancelled", wanted=False),
        ]
        self.assertEqual(0.5, compute_useful_fraction(results))

    def test_closeness_is_relative_to_the_smaller_of_share_and_demand(self):
        """Guards against a team that counts as underserved without demand or beyond its
        share."""
        found = compute_closeness(
            {"a": 3.0, "b": 1.0}, {"a": 2.0, "b": 9.0}, {"a": 0.5, "b": 0.25, "c": 1}, 8
        )
        self.assertEqual({"a": 1.0, "b": 0.5}, found)
        intervals = [(0, 10, "a"), (5, 20, "a"), (12, 30, "b")]
        self.assertEqual({"a": 1.5}, compute_mean_counts(intervals, 0, 10))

    def test_runs_and_peaks_are_counted_from_task_starts(self):
        """Guards against missed second runs, and peaks that count a successor twice."""
        invoke = Invoke(at_ms=0, event="invoke", request="r", queue="q", ticket="t")
        again = invoke.model_copy(update={"request": "s"})
        events = [invoke, again, start(1, "w/1"), start(2, "w/2", "s")]
        history = History([*events, end(2, "w/1"), end(3, "w/2")])
        self.assertEqual(2, find_max_runs_per_ticket(history))
        # One task ends at the time at which the next one starts.
        self.assertEqual({"a": 1}, find_peak_running(history))

    def test_late_starts_count_from_the_first_failure_of_a_worker(self):
        """Guards against counting starts before the worker's fault could be noticed."""
        failed = end(500, "w/1").model_copy(update={"how": "failed"})
        events = [start(400, "w/1"), failed, start(900, "w/2"), start(1600, "w/3")]
        self.assertEqual(1, count_starts_after_failure(History(events), "w", 100, 1000))
        self.assertEqual(0, count_starts_after_failure(History(events), "w", 600, 1000))

    def test_adoptions_are_assigned_to_process_starts(self):
        """Guards against a restarted process that seems to adopt an older version."""
        start = f"{START_LINE}\n"
        line = "I1204 06:05:53.814874 1 logs.py:42] [configuration] adopted " + (
            "configuration version={} text_version=1\n"
        )
        log = start + line.format(3) + line.format(5) + start + line.format(4)
        found = [(e.process, e.version) for e in parse_adoptions("entry-1", log)]
        expected = [("entry-1#0", 3), ("entry-1#0", 5), ("entry-1#1", 4)]
        self.assertEqual(expected, found)

    def test_only_accepted_calls_of_the_stopping_instance_count_as_cut(self):
        """Guards against counting refused calls, or calls to other instances."""
        stop = PlannedStop("e1", 10.0, 20.0)
        results = [
            result(outcome="broken", done_ms=15.0, kind="Empty reply from server"),
            result(outcome="broken", done_ms=15.0, kind="Failed to connect to server"),
            result(outcome="broken", done_ms=15.0, entry="e2"),
            result(outcome="broken", done_ms=25.0),
            result(outcome="ok", done_ms=15.0),
        ]
        self.assertEqual(1, count_calls_cut_by_stops(results, [stop]))
