"""Calls for submissions: submit, query, cancel and count, for the caller API."""

import json
import typing as t
from concurrent.futures import Future

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.node.admission_sync import AdmissionSync, Refusal
from cranberrywheel.node.cancellation import Cancellations, CancelResult
from cranberrywheel.node.intake import Acceptance, Intake
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    FINAL_SUFFIX,
    PROGRESS_SUFFIX,
    submission_key,
)
from cranberrywheel.node.leader import Leader
from cranberrywheel.node.leadership import Leadership
from cranberrywheel.node.peer_api import (
    QUEUE_PATH,
    STORED_PATH,
    SUBMISSION_PATH,
    encode_items,
)
from cranberrywheel.node.store_route import PEER_TIMEOUT_MS
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply
from cranberrywheel.submission.demand import count_waiting_submissions
from cranberrywheel.submission.model import Queue, Submission, SubmissionState
from cranberrywheel.submission.record import decode_final_state, decode_withdrawal

#: Delay before a failed store or peer call is repeated.
RETRY_MS = 250

T = t.TypeVar("T")


class SubmissionCalls:
    """Stores, reads and cancels submissions; futures complete on the loop's thread.

    :param admission: decides which submissions are refused because of load.
    :param own_address: ``host:port`` on which this process serves its peers.
    :param can_write: returns whether calls can reach the store at this moment.
    :param find_leader: returns the leader if this process leads.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        leadership: Leadership,
        admission: AdmissionSync,
        own_address: str,
        can_write: t.Callable[[], bool],
        find_leader: t.Callable[[], Leader | None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._leadership = leadership
        self._admission = admission
        self._own_address = own_address
        self._find_leader = find_leader
        self._intake = Intake(loop, store, can_write, self.notify_leader)
        self._cancellations = Cancellations(loop, store, self.notify_leader)

    def _run_on_loop(self, begin: t.Callable[["Future[T]"], None]) -> "Future[T]":
        future: Future[T] = Future()
        self._loop.post(lambda: begin(future))
        return future

    def submit(
        self, submission: Submission, wait_ms: int
    ) -> "Future[Acceptance | Refusal]":
        """Store a submission or refuse it; see ``Backend.submit``."""

        def begin(future: "Future[Acceptance | Refusal]") -> None:
            deadline_ms = self._loop.clock.now_ms() + wait_ms

            def on_verdict(verdict: Submission | Refusal) -> None:
                if isinstance(verdict, Refusal):
                    future.set_result(verdict)
                else:
                    self._intake.submit(verdict, deadline_ms, future.set_result)

            self._admission.check(submission, on_verdict)

        return self._run_on_loop(begin)

    def find_state(
        self, submission_id: str, wait_ms: int
    ) -> "Future[SubmissionState | None]":
        """Read the state of a submission; see ``Backend.find_state``."""
        return self._run_on_loop(
            lambda future: self._find_state(submission_id, wait_ms, future)
        )

    def _find_state(
        self, submission_id: str, wait_ms: int, future: "Future[SubmissionState | None]"
    ) -> None:
        deadline_ms = self._loop.clock.now_ms() + wait_ms
        leader = self._find_leader()
        if leader and self._leadership.has_valid_lease():
            state = leader.scheduler.get_state(submission_id)
            if state is not None:
                future.set_result(state)
                return
        key = submission_key(submission_id)

        def read() -> None:
            self._store.read_all(key, on_items)

        def on_items(reply: StoreReply) -> None:
            # After the deadline the future stays open: CallerApi has stopped waiting.
            if reply.outcome is Outcome.OK:
                value_by_key = {item.key: item.value or b"" for item in reply.items}
                future.set_result(_state_from_records(key, value_by_key))
            elif self._loop.clock.now_ms() + RETRY_MS < deadline_ms:
                if not self._request_state_from_leader(submission_id, future, read):
                    self._loop.after(RETRY_MS, read)

        read()

    def _request_state_from_leader(
        self,
        submission_id: str,
        future: "Future[SubmissionState | None]",
        retry: t.Callable[[], None],
    ) -> bool:
        holder = self._leadership.holder
        if holder is None or holder.address == self._own_address:
            return False

        def on_reply(reply: HttpReply) -> None:
            try:
                future.set_result(SubmissionState(decode_object(reply.body)["state"]))
            except FIELD_ERRORS:
                self._loop.after(RETRY_MS, retry)

        path = SUBMISSION_PATH + submission_id
        request = HttpRequest("GET", holder.address, path, timeout_ms=PEER_TIMEOUT_MS)
        self._loop.call(request, on_reply)
        return True

    def cancel(
        self, submission_id: str, organisation: str, wait_ms: int
    ) -> "Future[CancelResult]":
        """Cancel a submission; see ``Backend.cancel``."""

        def begin(future: "Future[CancelResult]") -> None:
            deadline_ms = self._loop.clock.now_ms() + wait_ms
            self._cancellations.cancel(
                submission_id, organisation, deadline_ms, future.set_result
            )

        return self._run_on_loop(begin)

    def notify_leader(self, items: t.Sequence[Item]) -> None:
        """Pass records that were just stored on to the leader, ahead of its watch.

        A lost notice has no consequence but the delay of the watch.
        """
        leader = self._find_leader()
        if leader:
            leader.offer(items)
            return
        holder = self._leadership.holder
        if holder is None or holder.address == self._own_address:
            return
        request = HttpRequest(
            "POST",
            holder.address,
            STORED_PATH,
            encode_items(items),
            timeout_ms=PEER_TIMEOUT_MS,
        )
        self._loop.call(request, self._admission.take_notice_answer)

    def count_waiting(self, queue: Queue) -> "Future[int]":
        """Count the submissions of a queue without a started task."""
        return self._run_on_loop(lambda future: self._count_waiting(queue, future))

    def _count_waiting(self, queue: Queue, future: "Future[int]") -> None:
        leader = self._find_leader()
        if leader and leader.is_loaded:
            future.set_result(count_waiting_submissions(leader.scheduler, queue.key))
            return
        holder = self._leadership.holder
        if holder is None or holder.address == self._own_address:
            self._loop.after(RETRY_MS, lambda: self._count_waiting(queue, future))
            return

        def on_reply(reply: HttpReply) -> None:
            try:
                future.set_result(int(decode_object(reply.body)["count"]))
            except FIELD_ERRORS:
                self._loop.after(RETRY_MS, lambda: self._count_waiting(queue, future))

        body = json.dumps({"queue": queue.key}).encode()
        request = HttpRequest(
            "POST", holder.address, QUEUE_PATH, body, timeout_ms=PEER_TIMEOUT_MS
        )
        self._loop.call(request, on_reply)


def _state_from_records(
    key: str, value_by_key: dict[str, bytes]
) -> SubmissionState | None:
    final = value_by_key.get(key + FINAL_SUFFIX)
    if final is not None:
        return None if decode_withdrawal(final) else decode_final_state(final)
    if key not in value_by_key:
        return None
    if key + CANCEL_SUFFIX in value_by_key:
        return SubmissionState.CANCELLED
    started = key + PROGRESS_SUFFIX in value_by_key
    return SubmissionState.RUNNING if started else SubmissionState.PENDING
