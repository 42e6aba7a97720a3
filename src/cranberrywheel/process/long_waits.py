"""Relief for requests that wait too long: displaced work and peers' units."""

from cranberrywheel.logs import PartLogger
from cranberrywheel.process.attempt import Attempt, AttemptState
from cranberrywheel.process.attempt_manager import AttemptManager
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.process.request_handler import RequestHandler
from cranberrywheel.request.displacement import RunningTask, choose_displaced

#: Urgent work must start within 1.5 s; a checkpoint takes part of the rest.
URGENT_WAIT_MS = 500
#: The next unit of this process is likely to come back sooner than this.
UNIT_WAIT_MS = 200

_log = PartLogger("relief")


def _describe(attempt: Attempt) -> RunningTask:
    return RunningTask(
        request_id=attempt.task_id,
        urgent=attempt.request.urgent,
        can_checkpoint=attempt.queue.can_checkpoint,
        can_throttle=False,
        expected_end_ms=round(attempt.created_ms + attempt.expected_ms),
        displaced=attempt.displaced,
    )


def displace_for_urgent(state: EntryState, attempts: AttemptManager) -> None:
    """Checkpoint non-urgent tasks where urgent requests wait for a slot.

    :param state: the dispatcher's state.
    :param attempts: the tasks of this process.
    """
    assert state.snapshot is not None
    now_ms = state.clock.now_ms()
    configuration = state.snapshot.configuration
    for service, queue in state.queues_by_service.items():
        waiting = queue.count_urgent(now_ms - URGENT_WAIT_MS)
        if not waiting or service not in configuration.services_by_name:
            continue
        pool = configuration.services_by_name[service].pool
        if state.workers.has_capacity(pool, now_ms):
            continue
        running = [
            _describe(attempt)
            for attempt in attempts.running()
            if attempt.worker.pool == pool and attempt.state is AttemptState.RUNNING
        ]
        for task_id in choose_displaced(running, waiting, now_ms):
            attempt = attempts.find(task_id)
            if attempt is not None:
                attempt.displaced = True
                attempts.control(task_id, "checkpoint")
                _log.event("displaced task", request_id=task_id, service=service)


def forward_for_units(state: EntryState, flow: RequestHandler) -> None:
    """Pass requests of teams without a unit here to peers with idle ones.

    Ticketed requests stay, because only this process may start them.

    :param state: the dispatcher's state.
    :param flow: forwards the requests.
    """
    now_ms = state.clock.now_ms()
    for pending in state.pending:
        request = pending.request
        if (
            not request.team
            or not request.idempotent
            or pending.task_id
            or pending.may_have_run
            or now_ms - request.arrived_ms < UNIT_WAIT_MS
            or any(waiter.incoming.forwarded for waiter in pending.waiters)
            or state.ledger.idle_units(request.team, now_ms) > 0
        ):
            continue
        queue = state.queues_by_service[request.service]
        peer = state.fleet.take_idle_unit(request.team)
        if peer and queue.remove(request.request_id):
            for waiter in state.pending.remove(pending):
                flow.forward(peer, waiter)
