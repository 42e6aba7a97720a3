"""Checks of a soak on the answers that its probes receive."""

import json
import random
import types

import pytest

from cranberrywheel_load import soak
from cranberrywheel_load.soak_probes import (
    CONFIGURATION_APPLY_S,
    NO_ANSWER,
    ConfigurationVersion,
    Operator,
    ProbeResult,
    find_cut_requests,
    find_late_configurations,
)

VERSIONS = [
    ConfigurationVersion(frozenset(), 0.0, 0.1),
    ConfigurationVersion(frozenset({"/a/"}), 10.0, 10.1),
    ConfigurationVersion(frozenset({"/b/"}), 20.0, 20.1),
]


def find_late(route, sent_s, status, disturbed=False):
    result = ProbeResult(0, route, sent_s, sent_s + 0.01, status, True)
    return find_late_configurations(VERSIONS, [result], lambda *_: disturbed)


@pytest.mark.parametrize(
    ("route", "sent_s", "status", "is_late"),
    [
        ("/a/", 9.0, 404, False),  # not added yet
        ("/a/", 11.0, 404, False),  # within the time to apply it
        ("/a/", 11.0, 200, False),
        ("/a/", 10.2 + CONFIGURATION_APPLY_S, 404, True),  # added and not in force
        ("/a/", 21.0, 404, False),  # removed, within the time
        ("/a/", 21.0, 200, False),
        ("/a/", 20.2 + CONFIGURATION_APPLY_S, 200, True),  # removed and in force
        ("/b/", 20.2 + CONFIGURATION_APPLY_S, 404, True),
        ("/b/", 15.0, 200, True),  # served before it was added
        ("/never/", 15.0, 404, False),
        ("/a/", 15.0, NO_ANSWER, False),
        ("/a/", 15.0, 504, False),
    ],
)
def test_answer_of_an_outdated_version_is_found(route, sent_s, status, is_late):
    """Guards against a late configuration that is missed, or a timely one reported."""
    assert bool(find_late(route, sent_s, status)) is is_late


def test_answer_of_a_disturbed_node_is_not_reported():
    """Guards against reports about nodes that the soak itself has cut off."""
    assert find_late("/a/", 15.0, 404) and not find_late("/a/", 15.0, 404, True)


def test_request_that_a_stop_cuts_off_is_found():
    """Guards against a soak that takes a request cut off for a closed connection."""
    cut = ProbeResult(0, "/a/", 5.0, 5.5, NO_ANSWER, True)
    closed = ProbeResult(0, "/a/", 5.0, 5.01, NO_ANSWER, True)
    answered = ProbeResult(0, "/a/", 5.0, 5.5, 200, True)
    results = [cut, closed, answered]
    assert len(find_cut_requests(results, lambda *_: True)) == 1
    assert find_cut_requests(results, lambda *_: False) == []


def test_operator_raises_the_version_and_keeps_the_base_route():
    """Guards against changes that no node adopts, or that remove the submissions."""

    values = []
    base = {"name": "orders", "host": "h", "prefix": "/q/", "service": "s"}
    operator = Operator(lambda value: values.append(json.loads(value)), base, 3)
    rng = random.Random(1)
    for _ in range(5):
        operator.change(rng)
    numbers = [value["version"] for value in values]
    assert numbers == sorted(set(numbers)) and len(numbers) == 6
    assert all(value["routes"][0]["prefix"] == "/q/" for value in values)
    assert len({version.routes for version in operator.versions}) == 6


@pytest.mark.parametrize(
    ("status", "is_violation"),
    [(200, False), (0, False), (504, False), (410, True), (429, True), (503, True)],
)
def test_cancellation_without_an_outcome_may_be_carried_out(
    monkeypatch, status, is_violation
):
    """Guards against a violation reported for a cancellation answered with 504.

    It was carried out after the answer, which had said that its outcome is unknown.
    """
    monkeypatch.setattr(soak, "send_call", lambda *args: (status, {}))
    deployment = types.SimpleNamespace(front_addresses=["a:1"])
    callers = soak.SimulatedCallers(deployment, random.Random(1))
    callers.submissions.append(soak.TrackedSubmission("5c0e", 1, accepted=True))
    callers.cancel()
    answer = (200, {"state": "cancelled"})
    monkeypatch.setattr(soak, "send_call", lambda *args: answer)
    callers.query_state(callers.submissions[0])
    assert bool(callers.violations) is is_violation
