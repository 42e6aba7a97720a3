"""Metrics of the calls to the advisor."""

from types import SimpleNamespace

from cranberrywheel.node.advisor_calls import EndedCall
from cranberrywheel.node.advisor_metrics import add_advisor_metrics
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.submission.advice import AdviceOutcome
from cranberrywheel.submission.advice_turns import AdviceTurns


def test_calls_and_waits_are_shown():
    """Guards against a backlog at the advisor that no metric shows."""
    calls = SimpleNamespace(on_end=None, under_way=None, given_up_count=3)
    scheduler = SimpleNamespace(advice_turns=AdviceTurns())
    scheduler.advice_turns.waiting_count = 7
    scheduler.advice_turns.longest_wait_ms = 2_500
    leading = [scheduler]
    metrics = Metrics()
    add_advisor_metrics(metrics, calls, lambda: leading[0])
    calls.on_end(EndedCall(AdviceOutcome.BUSY, 12))
    calls.on_end(EndedCall(AdviceOutcome.ANSWERED, 300))
    text = metrics.render().decode()
    assert 'cranberrywheel_advisor_calls_total{outcome="busy"} 1.0' in text
    assert "cranberrywheel_advisor_call_seconds_count 2.0" in text
    assert "cranberrywheel_advisor_calls_given_up 3.0" in text
    assert "cranberrywheel_advisor_calls_under_way 0.0" in text
    assert "cranberrywheel_steps_waiting_for_tickets 7.0" in text
    assert "cranberrywheel_longest_wait_for_tickets_seconds 2.5" in text
    leading[0] = None
    assert "cranberrywheel_steps_waiting_for_tickets 0.0" in metrics.render().decode()
