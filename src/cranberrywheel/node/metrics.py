"""Metrics of a process in the Prometheus text format."""

import typing as t

import prometheus_client as prometheus
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from cranberrywheel.submission.interference import (
    IGNORED_REASONS,
    InterferenceEstimates,
)
from cranberrywheel.submission.state import SchedulerState

#: Upper bounds of the latency buckets in seconds: a store call takes 4 to 8 ms, and
#: callers wait for at most a few seconds.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0)


class Metrics:
    """Metrics registry of one process."""

    def __init__(self) -> None:
        self.registry = prometheus.CollectorRegistry()
        self._answers = prometheus.Counter(
            "cranberrywheel_answers",
            "Answers to callers",
            ["method", "status"],
            registry=self.registry,
        )
        self._latency = prometheus.Histogram(
            "cranberrywheel_answer_seconds",
            "Time from a caller's request to its answer",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def record_answer(self, method: str, status: int, seconds: float) -> None:
        """Count an answer to a caller and observe its latency."""
        self._answers.labels(method, str(status)).inc()
        self._latency.observe(seconds)

    def gauge(self, name: str, help_text: str, read: t.Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = prometheus.Gauge(name, help_text, registry=self.registry)
        gauge.set_function(read)

    def leader_gauge(
        self,
        name: str,
        help_text: str,
        get_scheduler: t.Callable[[], SchedulerState | None],
        read: t.Callable[[SchedulerState], float],
    ) -> None:
        """Add a gauge of the scheduler; it is 0 at a process that does not lead.

        :param name: name after the prefix of the program.
        :param get_scheduler: returns the scheduler, or ``None`` without leadership.
        """

        def read_if_leader() -> float:
            scheduler = get_scheduler()
            return float(read(scheduler)) if scheduler is not None else 0.0

        self.gauge(f"cranberrywheel_{name}", help_text, read_if_leader)

    def collect_interference(
        self, read: t.Callable[[], InterferenceEstimates | None]
    ) -> None:
        """Add the metrics of images that disturb each other.

        :param read: returns the leader's estimates, or ``None`` without any.
        """
        self.registry.register(_InterferenceCollector(read))

    def add_contention_gauges(
        self, get_scheduler: t.Callable[[], SchedulerState | None]
    ) -> None:
        """Add gauges of shares and preemption.

        :param get_scheduler: returns the scheduler, or ``None`` without leadership.
        """

        def add(
            name: str, help_text: str, read: t.Callable[[SchedulerState], float]
        ) -> None:
            self.leader_gauge(name, help_text, get_scheduler, read)

        add(
            "contended_pools",
            "Pools in which work waits that does not fit, at the leader",
            lambda state: sum(
                row.contended for row in list(state.pool_shares_by_service.values())
            ),
        )
        add(
            "submissions_put_behind",
            "Waiting submissions that cannot be on time, at the leader",
            lambda state: sum(
                row.infeasible_count
                for row in list(state.pool_shares_by_service.values())
            ),
        )
        add(
            "preempted_runs",
            "Runs that this leadership has stopped for urgent work",
            lambda state: state.preemption.stopped_count,
        )
        add(
            "urgent_reservations",
            "Submissions for which capacity is kept, at the leader",
            lambda state: len(state.preemption.reservations_by_submission),
        )

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus.generate_latest(self.registry)


class _InterferenceCollector(Collector):
    """Metrics of the worst pairs only, so that the number of labels is bounded."""

    def __init__(self, read: t.Callable[[], InterferenceEstimates | None]) -> None:
        self._read = read

    def collect(self) -> t.Iterator[t.Any]:
        estimates = self._read()
        prefix = "cranberrywheel_interference_"
        labels = ["disturbed", "disturbing"]
        ratio = GaugeMetricFamily(
            prefix + "ratio",
            "Factor by which one disturbing run raises the tail latency",
            labels=labels,
        )
        confidence = GaugeMetricFamily(
            prefix + "confidence", "Confidence in the ratio, 0 to 1", labels=labels
        )
        actions = GaugeMetricFamily(
            prefix + "actions",
            "What was done for the pair in this leadership",
            labels=[*labels, "action"],
        )
        ignored = CounterMetricFamily(
            prefix + "ignored_reports",
            "Reports and readings that were not used",
            labels=["reason"],
        )
        for pair in estimates.listed_pairs if estimates else ():
            names = [pair.disturbed, pair.disturbing]
            ratio.add_metric(names, pair.ratio)
            confidence.add_metric(names, pair.confidence)
            for action in ("slowed", "spared", "moved"):
                actions.add_metric([*names, action], getattr(pair, action))
        for reason in IGNORED_REASONS:
            count = estimates.ignored_by_reason[reason] if estimates else 0
            ignored.add_metric([reason], count)
        yield from (ratio, confidence, actions, ignored)
