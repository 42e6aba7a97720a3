"""Node processes with an advisor, over sockets."""

import json
import time

import pytest

from cranberrywheel_load.soak import (
    ADVISOR_FAULT_KINDS,
    Deployment,
    SoakPlan,
    SoakSize,
    run_soak,
    send_call,
)

SUBMISSION = {"spec": "work", "steps": [{"count": 2, "cpu": 500, "memMb": 10}]}
#: Submissions that come at once; the advisor needs about 6 s for them.
BURST = 40
#: Time from the burst to the end of all its submissions.
BURST_END_S = 15.0


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path, SoakSize(filler_routes=10, advised_queues=1))
    deployment.advisor.decision_ms = 130
    deployment.start()
    assert deployment.wait_until_served(deployment.prefixes[1]) == []
    yield deployment
    deployment.stop()


def test_all_submissions_of_a_burst_get_tickets(deployment):
    """Guards against calls that are given up and repeated until none is answered."""
    prefix = deployment.prefixes[1]
    body = json.dumps(SUBMISSION).encode()
    paths = [f"{prefix}{number:016x}" for number in range(BURST)]
    with deployment.platform.lock:
        for path in paths:
            name = path.removeprefix(prefix)
            deployment.platform.fleet.set_task_profile(name, 500, 200)
    for number, path in enumerate(paths):
        front = deployment.front_addresses[number % len(deployment.front_addresses)]
        assert send_call("POST", front, path, body)[0] == 200
    deadline_s = time.monotonic() + BURST_END_S
    unfinished = paths
    while unfinished and time.monotonic() < deadline_s:
        time.sleep(0.3)
        unfinished = [
            path
            for path in unfinished
            if send_call("GET", deployment.front_addresses[0], path)[1].get("state")
            != "completed"
        ]
    assert unfinished == []
    assert deployment.advisor.count_by_status == {200: BURST}


#: Seeds of the soak with advised queues.
SOAK_SEEDS = [1, 2, 3]


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_advised_work_ends_under_random_faults(seed, tmp_path):
    """Guards against advised work that faults leave without tickets for ever."""
    plan = SoakPlan(
        seed, 8.0, 15, tmp_path, SoakSize(advised_queues=3), ADVISOR_FAULT_KINDS
    )
    assert run_soak(plan, print) == []
