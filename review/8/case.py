"""A submission fails because its route is away while another process takes over."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

ATTEMPTS = 4
#: The first run of a task ends as failed, each further one as done.
SPEC = '{"ms": 1500, "fails": 1, "cpu": 1000}'


def play(rig, trouble):
    """Return what broke the rule, or ``""``."""
    orders = rig2.build_route("/orders/", attempts=ATTEMPTS)
    other = rig2.build_route("/other/")
    rig.configure([orders, other])
    rig.start()
    ids = [rig2.new_id() for _ in range(4)]
    body = {
        "spec": SPEC,
        "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 1500}],
    }
    for submission_id in ids:
        status, _ = rig.send(rig.nodes[0], "POST", f"/orders/{submission_id}", body)
        if status != 200:
            raise rig2.NotRunError("a submission was not accepted")
    rig.wait(lambda: all(rig.list_ends(key, "failed") for key in ids), 10)
    time.sleep(0.5)
    if trouble:
        rig.configure([other])
        time.sleep(0.5)
        leader = rig.find_leader()
        leader.kill()
        time.sleep(rig2.RESTART_S)
        leader.start()
        time.sleep(5)
        rig.configure([orders, other])
    time.sleep(3)
    shown = {}
    for submission_id in ids:
        for _ in range(40):
            status, answer = rig.send(rig.nodes[1], "GET", f"/orders/{submission_id}")
            shown[submission_id] = answer.get("state", status)
            if shown[submission_id] in ("completed", "failed", "cancelled"):
                break
            time.sleep(0.5)
    broken = []
    for submission_id, state in shown.items():
        failed = len(rig.list_ends(submission_id, "failed"))
        if state == "failed" and failed < ATTEMPTS:
            broken.append(
                f"{submission_id} is shown as failed after {failed} end as failed; "
                f"its route has {ATTEMPTS} attempts"
            )
        elif state != "completed":
            broken.append(f"{submission_id} is shown as {state}")
    return "; ".join(broken)


rig2.run_case(FOLDER, play)
