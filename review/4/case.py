"""A cancel is answered 410 while the submission is still being stored; it runs on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig import TROUBLE, Rig, new_id, now, run_case  # noqa: E402

CASE = pathlib.Path(__file__).resolve().parent
#: for_s of core_cut in the site files, for one machine.
CUT_S = 5.5
#: A caller that leaves early does so within half of the objective of 600 ms (give_up).
GIVE_UP_S = 0.3
#: cancel_ms of the small installations.
CANCEL_S = 3.0
#: stableWindowMs + cancel_ms + stopTimeoutMs, and 3.1 s more.
CALM_S = 3.0 + 3.0 + 0.9 + 3.1


def build():
    """Build six executors and a queue for work that lasts."""
    rig = Rig(CASE)
    for number in range(6):
        rig.add_executor(
            f"x{number}", "pool", zone=rig.zones[number % 3], rack=f"r1-{number // 4}"
        )
    rig.add_route("recon", "pool")
    rig.tenants = [{"name": "t1", "apiKeys": ["k1"], "weight": 1.0}]
    return rig


async def play(rig):
    """Cut a machine from the store, hand in there, leave, and cancel elsewhere."""
    leader = rig.leader()
    first, second = (node for node in rig.nodes if node is not leader)
    rig.record("leader", node=leader.name)
    submission = new_id()
    path = f"/recon/{submission}"
    step = {"count": 2, "cpu": 1000, "memMb": 256, "longRunning": True}
    body = {"spec": "reconcile the ledger", "steps": [step]}
    if TROUBLE:
        rig.record("machine is cut from the store", node=first.name)
        first.proxy.hold()
    accepted, _ = await rig.send(first, "POST", path, body, timeout=GIVE_UP_S)
    cut_end = now() + CUT_S
    cancelled, _ = await rig.send(second, "DELETE", path)
    acked = rig.record("acks", accepted=accepted, cancelled=cancelled)["t"]
    await asyncio.sleep(max(0, cut_end - now()))
    first.proxy.release()
    rig.record("machine reaches the store again", node=first.name)
    await asyncio.sleep(CALM_S)
    running = rig.running(submission)
    _, answer = await rig.send(second, "GET", path)
    rig.record("result", running=running, state=answer.get("state"))
    if cancelled not in (200, 410):
        return
    for row in rig.starts(submission):
        if row["t"] > acked + CANCEL_S:
            rig.fail(
                f"UNASKED: the leader, which was in touch, starts {row['task']} "
                f"{row['t'] - acked:.1f} s after the cancelling was acknowledged"
            )
    if running:
        rig.fail(
            f"UNASKED: {len(running)} tasks of the submission run {CALM_S:.0f} s after "
            f"the last disturbance; its cancelling was acknowledged ({cancelled})"
        )


run_case(CASE, build, play)
