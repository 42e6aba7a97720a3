"""Metrics of the calls to the advisor, and of the steps that wait for tickets."""

import typing as t

import prometheus_client as prometheus

from cranberrywheel.node.advisor_calls import AdvisorCalls, EndedCall
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.submission.state import SchedulerState

#: Upper bounds of the buckets of a call's duration, in seconds.
BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


def add_advisor_metrics(
    metrics: Metrics,
    calls: AdvisorCalls,
    get_scheduler: t.Callable[[], SchedulerState | None],
) -> None:
    """Add the metrics; those of steps are 0 at a process that does not lead.

    :param get_scheduler: returns the scheduler of the leader, or ``None``.
    """
    ended = prometheus.Counter(
        "cranberrywheel_advisor_calls",
        "Calls to the advisor that have ended, by outcome",
        ["outcome"],
        registry=metrics.registry,
    )
    duration = prometheus.Histogram(
        "cranberrywheel_advisor_call_seconds",
        "Time from a call to the advisor to its end",
        buckets=BUCKETS_S,
        registry=metrics.registry,
    )

    def record(call: EndedCall) -> None:
        ended.labels(call.outcome.value).inc()
        duration.observe(call.took_ms / 1000)

    calls.on_end = record
    metrics.gauge(
        "cranberrywheel_advisor_calls_under_way",
        "Calls to the advisor that are not answered yet",
        lambda: float(calls.under_way is not None),
    )
    metrics.gauge(
        "cranberrywheel_advisor_calls_given_up",
        "Calls that got no answer in time and that the advisor may handle yet",
        lambda: float(calls.given_up_count),
    )

    def add(
        name: str, help_text: str, read: t.Callable[[SchedulerState], float]
    ) -> None:
        metrics.leader_gauge(name, help_text, get_scheduler, read)

    add(
        "steps_waiting_for_tickets",
        "Steps that could start but for tickets, at the leader",
        lambda state: state.advice_turns.waiting_count,
    )
    add(
        "longest_wait_for_tickets_seconds",
        "Longest time for which one of them has waited",
        lambda state: state.advice_turns.longest_wait_ms / 1000,
    )
    add(
        "advisor_answers_with_tickets",
        "Answers that brought tickets, in this leadership",
        lambda state: state.advice_turns.answer_count,
    )
    add(
        "advisor_answers_used",
        "Those of them that led to a start",
        lambda state: state.advice_turns.used_answer_count,
    )
