"""Helps requests that wait too long: preempts other tasks or forwards to a peer."""

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.attempt import Attempt, AttemptState
from cranberrywheel.process.attempt_manager import AttemptManager
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.process.request_handler import RequestHandler
from cranberrywheel.request.preemption import RunningTask, select_tasks_to_preempt

#: Urgent work must start within 1.5 s, and a checkpoint takes part of that time.
URGENT_WAIT_MS = 500
#: A unit of this process is usually freed sooner than this.
UNIT_WAIT_MS = 200

_log = ComponentLogger("relief")


def _to_running_task(attempt: Attempt) -> RunningTask:
    return RunningTask(
        request_id=attempt.task_id,
        urgent=attempt.request.urgent,
        can_checkpoint=attempt.queue.can_checkpoint,
        can_throttle=False,
        expected_end_ms=round(attempt.created_ms + attempt.expected_ms),
        preempted=attempt.preempted,
    )


def preempt_for_urgent(state: EntryState, attempt_manager: AttemptManager) -> None:
    """Checkpoint non-urgent tasks in pools where urgent requests wait for a slot.

    :param state: state of the dispatcher.
    :param attempt_manager: manager of the tasks of this process.
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
            _to_running_task(attempt)
            for attempt in attempt_manager.list_running()
            if attempt.worker.pool == pool and attempt.state is AttemptState.RUNNING
        ]
        for task_id in select_tasks_to_preempt(running, waiting, now_ms):
            attempt = attempt_manager.find(task_id)
            if attempt is not None:
                attempt.preempted = True
                attempt_manager.control(task_id, "checkpoint")
                _log.event(
                    "preempted task for urgent requests",
                    request_id=task_id,
                    service=service,
                )


def forward_to_idle_peers(state: EntryState, request_handler: RequestHandler) -> None:
    """Forward requests of teams without a free unit here to peers with idle units.

    Requests with a ticket stay, because only this process may start them.

    :param state: state of the dispatcher.
    :param request_handler: forwards the requests.
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
        peer = state.fleet.reserve_idle_unit(request.team)
        if peer and queue.remove(request.request_id):
            for waiter in state.pending.remove(pending):
                request_handler.forward(peer, waiter)
