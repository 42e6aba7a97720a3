"""Manages attempts at workers, from the start token to the confirmed end."""

import itertools
import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.target_messages import (
    AttemptFinished,
    AttemptOutcome,
    ControlFinished,
    ControlTask,
    FetchToken,
    FetchUsage,
    QueryTask,
    StartAttempt,
    TaskQueried,
    TokenFetched,
    UsageFetched,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.attempt import Attempt, AttemptResult, AttemptState
from cranberrywheel.process.quota_units import QuotaLedger
from cranberrywheel.process.timers import Timers
from cranberrywheel.process.worker_table import AttemptVerdict, WorkerRow, WorkerTable
from cranberrywheel.request.model import Request
from cranberrywheel.settings import QuotaSettings
from cranberrywheel.version.configuration import Queue

#: Delay before the stop or the query of a task is sent again.
CONTROL_RETRY_MS = 500
#: Usage reports lag, so younger tasks are seldom in them.
MIN_USAGE_AGE_MS = 1_000
#: Renewals sent within the duration of one task lease.
RENEWALS_PER_LEASE = 3

_log = ComponentLogger("attempts")


class AttemptManager:
    """Manages all attempts of one entry process; owned by the dispatcher.

    :param post: sends a message to the target client.
    :param on_result: called with an :class:`AttemptResult` when an attempt ends, and
        also, with ``last`` false, when its connection broke but it may still run.
    """

    def __init__(
        self,
        clock: Clock,
        settings: QuotaSettings,
        ledger: QuotaLedger,
        workers: WorkerTable,
        timers: Timers,
        post: t.Callable[[t.Any], None],
        on_result: t.Callable[[AttemptResult], None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._ledger = ledger
        self._workers = workers
        self._timers = timers
        self._post = post
        self._on_result = on_result
        self._attempts_by_task: dict[str, Attempt] = {}
        self._awaiting_token_by_worker: dict[str, list[str]] = {}
        self._attempt_numbers = itertools.count(1)
        self.late_answers = 0

    def __len__(self) -> int:
        return len(self._attempts_by_task)

    def find(self, task_id: str) -> Attempt | None:
        """Return an attempt that has not ended, or ``None``."""
        return self._attempts_by_task.get(task_id)

    def list_running(self) -> list[Attempt]:
        """Return all attempts that have not ended."""
        return list(self._attempts_by_task.values())

    def start(
        self,
        request: Request,
        queue: Queue,
        worker: WorkerRow,
        expected_ms: float,
        checkpoint: str = "",
    ) -> str | None:
        """Start a request on a worker.

        :param expected_ms: usual run time of the queue's requests in milliseconds.
        :param checkpoint: id of the checkpointed task to continue, or ``""``.

        :returns: the task id, or ``None`` if the team has no free quota unit.
        """
        now_ms = self._clock.now_ms()
        task_id = f"{request.request_id}.{next(self._attempt_numbers)}"
        if request.team and not self._ledger.acquire_unit(
            request.team, task_id, now_ms
        ):
            return None
        attempt = Attempt(
            task_id=task_id,
            request=request,
            queue=queue,
            worker=worker,
            state=AttemptState.NEEDS_TOKEN,
            created_ms=now_ms,
            expected_ms=expected_ms,
            checkpoint=checkpoint,
        )
        self._attempts_by_task[task_id] = attempt
        self._workers.record_start(worker.name, now_ms)
        if not self._send(attempt):
            self._fetch_token(attempt)
        return task_id

    def _fetch_token(self, attempt: Attempt) -> None:
        waiting = self._awaiting_token_by_worker.setdefault(attempt.worker.name, [])
        waiting.append(attempt.task_id)
        if len(waiting) == 1:
            self._post(
                FetchToken(worker=attempt.worker.name, address=attempt.worker.address)
            )

    def _send(self, attempt: Attempt) -> bool:
        """Send the start request if there is a usable start token.

        :returns: false if a token must be fetched first.
        """
        now_ms = self._clock.now_ms()
        token = self._workers.get_token(attempt.worker.name, now_ms)
        if token is None:
            return False
        request = attempt.request
        if request.team and not self._ledger.has_valid_unit(attempt.task_id, now_ms):
            self._end(attempt, AttemptVerdict.REFUSED)
            self._report(
                attempt, AttemptOutcome.NOT_SENT, detail="the quota unit expired"
            )
            return True
        attempt.state = AttemptState.RUNNING
        attempt.sent_ms = attempt.lease_sent_ms = now_ms
        self._post(
            StartAttempt(
                task_id=attempt.task_id,
                worker=attempt.worker.name,
                address=attempt.worker.address,
                token=token,
                lease_ms=self._settings.task_lease_ms,
                timeout_ms=max(1, request.deadline_ms - now_ms),
                team=request.team,
                queue=request.queue,
                cores=attempt.queue.cores,
                memory_mb=attempt.queue.memory_mb,
                run_ms=attempt.queue.run_ms,
                idempotent=request.idempotent,
                checkpoint=attempt.checkpoint,
                content_type=request.content_type,
                traceparent=request.traceparent,
                body=request.body,
            )
        )
        return True

    def handle_token_fetched(self, message: TokenFetched) -> None:
        """Start the attempts that waited for this start token."""
        if message.token:
            self._workers.set_token(message.worker, message.token, message.requested_ms)
        for task_id in self._awaiting_token_by_worker.pop(message.worker, []):
            attempt = self._attempts_by_task.get(task_id)
            if attempt is None or self._send(attempt):
                continue
            self._end(attempt, AttemptVerdict.UNREACHABLE)
            self._report(attempt, AttemptOutcome.NOT_SENT, detail="no start token")

    def handle_attempt_finished(self, message: AttemptFinished) -> None:
        """Handle the answer to an attempt, or the loss of its connection."""
        attempt = self._attempts_by_task.get(message.task_id)
        if attempt is None:
            self.late_answers += 1
            _log.event("dropped answer to an ended attempt", request_id=message.task_id)
            return
        if message.next_token:
            self._workers.set_token(
                message.worker, message.next_token, self._clock.now_ms()
            )
        if message.outcome is AttemptOutcome.NO_USABLE_ANSWER:
            self._handle_broken_connection(attempt, message)
            return
        self._end(attempt, _to_verdict(message))
        self._report(
            attempt,
            message.outcome,
            kind=message.kind,
            detail=message.detail,
            body=message.body,
            content_type=message.content_type,
        )

    def _handle_broken_connection(
        self, attempt: Attempt, message: AttemptFinished
    ) -> None:
        if attempt.state is AttemptState.STOPPING:
            return
        if attempt.request.idempotent:
            self.stop(attempt.task_id)
        else:
            attempt.state = AttemptState.QUERYING
            self._send_query(attempt)
        self._report(
            attempt,
            AttemptOutcome.NO_USABLE_ANSWER,
            kind=message.kind,
            detail=message.detail,
            last=False,
        )

    def stop(self, task_id: str) -> None:
        """Ask the worker to stop a task; its quota unit stays in use until then."""
        attempt = self._attempts_by_task.get(task_id)
        if attempt is None or attempt.state is AttemptState.STOPPING:
            return
        if attempt.state is AttemptState.NEEDS_TOKEN:
            self._end(attempt, AttemptVerdict.CANCELLED)
            self._report(attempt, AttemptOutcome.NOT_SENT, detail="cancelled")
            return
        attempt.state = AttemptState.STOPPING
        self._send_control(attempt, "stop")

    def control(self, task_id: str, action: str) -> None:
        """Send a control action, such as ``checkpoint``, for a task to its worker."""
        if attempt := self._attempts_by_task.get(task_id):
            self._send_control(attempt, action)

    def _send_control(self, attempt: Attempt, action: str) -> None:
        self._post(
            ControlTask(
                task_id=attempt.task_id,
                worker=attempt.worker.name,
                address=attempt.worker.address,
                action=action,
            )
        )

    def _send_query(self, attempt: Attempt) -> None:
        self._post(
            QueryTask(
                task_id=attempt.task_id,
                worker=attempt.worker.name,
                address=attempt.worker.address,
            )
        )

    def handle_control_finished(self, message: ControlFinished) -> None:
        """Handle the worker's answer to a control action."""
        attempt = self._attempts_by_task.get(message.task_id)
        if attempt is None or message.action != "stop":
            return
        # While its token is valid, a start that the worker does not know yet may
        # still arrive.
        token_expired = (
            self._clock.now_ms() - attempt.sent_ms > self._max_token_age_ms()
        )
        if message.confirmed or (message.task_unknown and token_expired):
            self._end(attempt, AttemptVerdict.CANCELLED)
            _log.event(
                "task is stopped",
                request_id=attempt.task_id,
                worker=attempt.worker.name,
            )
            self._report(attempt, AttemptOutcome.NO_USABLE_ANSWER, detail="stopped")
            return
        self._schedule_retry(attempt, lambda: self._send_control(attempt, "stop"))

    def handle_task_queried(self, message: TaskQueried) -> None:
        """Handle the state of a task whose connection broke, as its worker reports."""
        attempt = self._attempts_by_task.get(message.task_id)
        if attempt is None:
            return
        if message.state in ("finished", "failed"):
            succeeded = message.state == "finished"
            self._end(
                attempt, AttemptVerdict.OK if succeeded else AttemptVerdict.FAILED
            )
            self._report(
                attempt,
                AttemptOutcome.RAN if succeeded else AttemptOutcome.FAILED,
                detail="the result was queried after the connection broke",
                body=message.body,
                content_type=message.content_type,
            )
        elif message.state == "stopped":
            self._end(attempt, AttemptVerdict.UNREACHABLE)
            self._report(
                attempt,
                AttemptOutcome.NO_USABLE_ANSWER,
                detail="the worker stopped the task",
            )
        else:
            if message.state == "running":
                attempt.confirmed_running_ms = self._clock.now_ms()
            self._schedule_retry(attempt, lambda: self._send_query(attempt))

    def _schedule_retry(self, attempt: Attempt, send: t.Callable[[], None]) -> None:
        def retry() -> None:
            if self._attempts_by_task.get(attempt.task_id) is attempt:
                send()

        self._timers.add(self._clock.now_ms() + CONTROL_RETRY_MS, retry)

    def _max_token_age_ms(self) -> int:
        return self._settings.start_token_ms + self._settings.start_token_ms // 100 + 1

    def fetch_usage(self) -> None:
        """Fetch usage from the workers whose tasks are old enough to be reported."""
        now_ms = self._clock.now_ms()
        workers = {
            attempt.worker.name: attempt.worker.address
            for attempt in self._attempts_by_task.values()
            if attempt.sent_ms and now_ms - attempt.sent_ms >= MIN_USAGE_AGE_MS
        }
        for worker, address in workers.items():
            self._post(FetchUsage(worker=worker, address=address))

    def handle_usage_fetched(self, message: UsageFetched) -> None:
        """Record the highest usage that a worker reported for each task."""
        for task_id, (cores, memory_mb) in message.usage_by_task.items():
            if attempt := self._attempts_by_task.get(task_id):
                attempt.used_cores = max(attempt.used_cores or 0.0, cores)
                attempt.used_memory_mb = max(attempt.used_memory_mb or 0, memory_mb)

    def renew_leases(self) -> None:
        """Renew the task leases that are due and end attempts with an expired one."""
        now_ms = self._clock.now_ms()
        lease_ms = self._settings.task_lease_ms
        for attempt in list(self._attempts_by_task.values()):
            if attempt.state is AttemptState.NEEDS_TOKEN:
                continue
            lease_age_ms = now_ms - attempt.lease_sent_ms
            if lease_age_ms >= lease_ms // RENEWALS_PER_LEASE and (
                attempt.state is AttemptState.RUNNING
                or (
                    attempt.state is AttemptState.QUERYING
                    and now_ms - attempt.confirmed_running_ms < lease_ms
                )
            ):
                self._renew_lease(attempt, now_ms)
            # The worker counts the lease from its arrival, up to a token lifetime
            # after it was sent; 1% covers the difference in clock rate.
            expiry_ms = (lease_ms + self._settings.start_token_ms) * 101 // 100
            if lease_age_ms > expiry_ms:
                self._end(attempt, AttemptVerdict.UNREACHABLE)
                self._report(
                    attempt,
                    AttemptOutcome.NO_USABLE_ANSWER,
                    detail="the task lease expired",
                )

    def _renew_lease(self, attempt: Attempt, now_ms: int) -> None:
        team = attempt.request.team
        if team and not self._ledger.has_valid_unit(attempt.task_id, now_ms):
            _log.event(
                "quota unit expired; stopping its task", request_id=attempt.task_id
            )
            if attempt.queue.can_checkpoint:
                self._send_control(attempt, "checkpoint")
            self.stop(attempt.task_id)
            return
        token = self._workers.get_token(attempt.worker.name, now_ms)
        if token is None:
            self._post(
                FetchToken(worker=attempt.worker.name, address=attempt.worker.address)
            )
            return
        attempt.lease_sent_ms = now_ms
        self._post(
            ControlTask(
                task_id=attempt.task_id,
                worker=attempt.worker.name,
                address=attempt.worker.address,
                action="lease",
                token=token,
                lease_ms=self._settings.task_lease_ms,
            )
        )

    def _end(self, attempt: Attempt, verdict: AttemptVerdict) -> None:
        now_ms = self._clock.now_ms()
        self._attempts_by_task.pop(attempt.task_id, None)
        duration_ms = now_ms - (attempt.sent_ms or now_ms)
        self._workers.record_end(
            attempt.worker.name, verdict, duration_ms, now_ms, attempt.expected_ms
        )
        if attempt.request.team:
            self._ledger.free_unit(attempt.task_id)

    def _report(self, attempt: Attempt, end: AttemptOutcome, **fields: t.Any) -> None:
        self._on_result(AttemptResult(attempt=attempt, end=end, **fields))


def _to_verdict(message: AttemptFinished) -> AttemptVerdict:
    if message.outcome is AttemptOutcome.RAN:
        return AttemptVerdict.OK
    if message.outcome is AttemptOutcome.FAILED:
        return AttemptVerdict.FAILED
    if message.outcome is AttemptOutcome.STOPPED:
        return AttemptVerdict.CANCELLED
    if message.outcome is AttemptOutcome.NOT_SENT:
        return AttemptVerdict.UNREACHABLE
    return AttemptVerdict.REFUSED
