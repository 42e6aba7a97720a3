"""Leader's view of an executor: its lease, its runs and its reachability."""

import collections
import dataclasses
import typing as t

from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.live import LiveSubmission, Run, RunState, StepRun
from cranberrywheel.submission.model import NO_RESOURCES, Resources

#: An executor's clock may be 2% slow, so a lease may last that much longer there.
MAX_CLOCK_DRIFT_FACTOR = 1.02
#: Time for which a start that got no answer may still be carried out.
LATE_START_MS = 10_000
#: Difference of clock readings that proves nothing, for rounding on both sides.
CLOCK_TOLERANCE_MS = 50
#: Shortest and longest time for which nothing starts on an executor that has refused a
#: start. It doubles with each refusal in a row.
MIN_START_PAUSE_MS, MAX_START_PAUSE_MS = 50, 1_000
#: Added to a lease to cover the duration of the call that granted it and rounding.
EXPIRY_SLACK_MS = 200


def compute_lease_expiry_delay(lease_ms: int) -> int:
    """Return the time after which a lease has expired on any clock, in milliseconds.

    :param lease_ms: granted duration in milliseconds.
    """
    return int(lease_ms * MAX_CLOCK_DRIFT_FACTOR) + EXPIRY_SLACK_MS


def _add_count(counts: dict[t.Any, int], key: t.Any, change: int) -> None:
    """Change a count, and remove one that becomes 0."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCompletion:
    """A completion that is acknowledged once its submission's record is stored.

    :param sequence: position in the executor's list of completions.
    :param live: live submission of the run, or ``None`` if nothing has to be stored.
    :param version: version of the submission's record that contains the completion.
    """

    sequence: int
    live: LiveSubmission | None
    version: int

    @property
    def is_stored(self) -> bool:
        """Whether the executor may forget the completion without a loss."""
        live = self.live
        return live is None or live.final_stored or live.stored_version >= self.version


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredStart:
    """A start that got no answer, so that a stop of its run was ordered.

    :param until_ms: steady time until which it may be carried out, in milliseconds.
    """

    run: Run
    until_ms: int


class Executor:
    """An executor and the runs that may be on it. Times are steady milliseconds.

    :ivar entry: latest entry that the executor registered in the store.
    :ivar registered: its entry is in the store.
    :ivar recorded: its record in the store names its address and service, so that the
        next leader finds it; true until the leader knows otherwise.
    :ivar unregistered_ms: when its entry disappeared; 0 while it is registered.
    :ivar boot: start of its present process in Unix milliseconds, see
        :class:`.executor_orders.ExecutorEntry`; 0 until it is known.
    :ivar boot_known_ms: when the present boot was first known.
    :ivar boot_doubtful_ms: when an answer had a clock that is too early for the known
        boot; 0 once a later poll has shown the boot.
    :ivar was_polled: a boot of it has answered a poll of this leader.
    :ivar answered_poll_sent_ms: when the last sent of the polls that it has answered
        was sent.
    :ivar fence_confirmed: its present boot has answered a poll of this leader and
        listed all its ends.
    :ivar reachable: the last poll was answered.
    :ivar lease_expiry_ms: when every lease that any order may have granted has expired.
    :ivar former_lease_expiry_ms: the same for runs that earlier boots have listed.
    :ivar runs: runs that may be on it, by name of the task and number of the run.
    :ivar used: capacity that its runs reserve: thousandths of a core, megabytes and
        accelerators.
    :ivar free: capacity that no run reserves and that is kept for no submission; less
        than nothing while more is kept than is left.
    :ivar reserved: capacity that is kept for :attr:`reserved_for`.
    :ivar reserved_for: submission that it was freed for, see :mod:`.preemption`.
    :ivar count_by_step: number of runs of each step.
    :ivar cordoned: accepts no new runs, because its machine is due for maintenance or
        a move.
    :ivar evacuated: accepts no new runs, because its availability zone is evacuated.
    :ivar cold_until_ms: until when it is slow, because it has just come back; 0 if it
        never was, see :mod:`.cold_executors`.
    :ivar cold_since_ms: when its present or last cold time was first known.
    :ivar cold_started_cpu: cpu of the runs that have begun since then, in thousandths
        of a core.
    :ivar clock_offset_ms: its clock minus the leader's; ``None`` until it is known.
    :ivar clock_read_ms: when its clock was last read.
    :ivar last_alive_ms: last sign of life of its process: an answer, or the loss of a
        connection that had been open.
    :ivar received_sequence: last completion that the leader has received.
    :ivar acknowledged_sequence: last completion that the executor may forget.
    :ivar forgotten_sequence: last completion that it has certainly forgotten.
    :ivar pending_completions: received completions that are not acknowledged yet, in
        the order of their sequence numbers.
    :ivar fault_count: recent faults with exponential decay, see
        :mod:`.fault_detection`.
    :ivar fault_counted_ms: when ``fault_count`` was last updated.
    :ivar suspect_until_ms: until when other executors are preferred.
    :ivar failing_until_ms: until when it counts as failing its runs.
    :ivar withholds_last_attempts: while it is failing, it gets no task whose next
        failure is final.
    :ivar ended_visibly: its process has closed its connections or its port, and has
        not answered since.
    :ivar ended_ms: when that was first noticed.
    :ivar untracked_runs: runs that it listed last and that the leader does not track,
        such as those of ended submissions after a takeover; they are being stopped.
        Their size may be unknown, so nothing starts beside them.
    :ivar untracked_stop_ms: when the stop of each of them was last ordered.
    :ivar unanswered_starts: starts without an answer, by name of the task and number of
        the run; the executor may carry them out late.
    :ivar start_pause_end_ms: when it may get starts again after it has refused some.
    :ivar isolated_for: only this submission may begin runs on it, because it may crash
        its executors; ``None`` for all, see :mod:`.crash_attribution`.
    :ivar isolated_until_ms: until when it is kept free for that submission.
    :ivar background_count: number of background runs.
    :ivar latency_sensitive_count: number of latency-sensitive runs.
    :ivar background_by_image: number of background runs of each image.
    :ivar latency_sensitive_by_image: number of latency-sensitive runs of each image.
    """

    def __init__(
        self, entry: ExecutorEntry, registered: bool, lease_expiry_ms: int
    ) -> None:
        self.entry = entry
        self.registered = registered
        self.recorded = True
        self.boot = 0
        self.boot_known_ms = 0
        self.boot_doubtful_ms = 0
        self.was_polled = False
        self.answered_poll_sent_ms = 0
        self.fence_confirmed = False
        self.reachable = True
        self.lease_expiry_ms = lease_expiry_ms
        self.former_lease_expiry_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.used: Resources = NO_RESOURCES
        self.free: Resources = entry.capacity
        self.reserved: Resources = NO_RESOURCES
        self.reserved_for: LiveSubmission | None = None
        self.count_by_step: dict[StepRun, int] = {}
        self.cordoned = False
        self.evacuated = False
        self.cold_until_ms = 0
        self.cold_since_ms = 0
        self.cold_started_cpu = 0
        self.clock_offset_ms: int | None = None
        self.clock_read_ms = 0
        self.last_alive_ms = 0
        self.received_sequence = 0
        self.acknowledged_sequence = 0
        self.forgotten_sequence = 0
        self.pending_completions: collections.deque[PendingCompletion] = (
            collections.deque()
        )
        self.unregistered_ms = 0
        self.fault_count = 0.0
        self.fault_counted_ms = 0
        self.suspect_until_ms = 0
        self.failing_until_ms = 0
        self.withholds_last_attempts = False
        self.ended_visibly = False
        self.ended_ms = 0
        self.untracked_runs: frozenset[tuple[str, int]] = frozenset()
        self.untracked_stop_ms: dict[tuple[str, int], int] = {}
        self.unanswered_starts: dict[tuple[str, int], UnansweredStart] = {}
        self.start_pause_end_ms = 0
        self._refusals_in_a_row = 0
        self.isolated_for: LiveSubmission | None = None
        self.isolated_until_ms = 0
        self.background_count = 0
        self.latency_sensitive_count = 0
        self.background_by_image: dict[str, int] = {}
        self.latency_sensitive_by_image: dict[str, int] = {}

    @property
    def id(self) -> str:
        """Id of the executor."""
        return self.entry.id

    @property
    def is_usable(self) -> bool:
        """Whether new runs of any submission may start on it."""
        return self.is_available and self.isolated_for is None

    @property
    def is_available(self) -> bool:
        """Whether new runs may start on it, at least of :attr:`isolated_for`."""
        return (
            self.registered
            and self.recorded
            and self.fence_confirmed
            and self.reachable
            and not self.boot_doubtful_ms
            and not self.untracked_runs
            and not self.entry.draining
            and not self.cordoned
            and not self.evacuated
        )

    def may_have_runs(self, now_ms: int) -> bool:
        """Tell whether something may run on it, also if its entry has expired.

        A new leader knows nothing of an executor that has not answered its first poll.
        """
        if self.runs or self.untracked_runs:
            return True
        return not self.fence_confirmed and (
            self.registered or now_ms <= self.lease_expiry_ms
        )

    def list_expired_runs(self, now_ms: int) -> list[Run]:
        """Return the runs whose lease has expired although it gives no answer."""
        if not self.reachable and now_ms > self.lease_expiry_ms:
            return list(self.runs.values())
        if now_ms <= self.former_lease_expiry_ms:
            return []
        return [
            run for run in self.runs.values() if run.listed_boot not in (0, self.boot)
        ]

    def set_untracked(self, runs: t.Iterable[tuple[str, int]]) -> bool:
        """Replace the runs that it executes and that are not tracked.

        :returns: whether it had some before and has none now.
        """
        had_some = bool(self.untracked_runs)
        self.untracked_runs = frozenset(runs)
        self.untracked_stop_ms = {
            key: sent_ms
            for key, sent_ms in self.untracked_stop_ms.items()
            if key in self.untracked_runs
        }
        return had_some and not self.untracked_runs

    def note_unanswered_start(self, run: Run, now_ms: int) -> None:
        """Remember a start without an answer, which may be carried out late."""
        self.unanswered_starts = {
            key: start
            for key, start in self.unanswered_starts.items()
            if now_ms < start.until_ms
        }
        self.unanswered_starts[run.key] = UnansweredStart(run, now_ms + LATE_START_MS)

    def has_unanswered_starts(self, now_ms: int) -> bool:
        """Tell whether a start may still be carried out."""
        return any(now_ms < start.until_ms for start in self.unanswered_starts.values())

    def note_refused_start(self, now_ms: int) -> None:
        """Let nothing start for a time after a refusal, which others would get too."""
        if now_ms < self.start_pause_end_ms:
            return  # the start was sent before the pause
        pause_ms = MIN_START_PAUSE_MS << min(self._refusals_in_a_row, 10)
        self.start_pause_end_ms = now_ms + min(pause_ms, MAX_START_PAUSE_MS)
        self._refusals_in_a_row += 1

    def note_accepted_start(self) -> None:
        """Begin the next pause after a refusal with the shortest time."""
        self._refusals_in_a_row = 0

    def list_stopping_runs(self, now_ms: int) -> list[Run]:
        """Return the runs that it must stop, or must not start if they arrive late."""
        untracked = [
            start.run
            for key, start in self.unanswered_starts.items()
            if now_ms < start.until_ms and key not in self.runs
        ]
        return untracked + [
            run for run in self.runs.values() if run.state is RunState.STOPPING
        ]

    def is_behind(self, clock_ms: int, sent_ms: int) -> bool:
        """Tell whether an answer's clock is too early for the known boot.

        Then a process that started later has answered, and a deadline on the clock of
        the known one is too late for it.

        :param clock_ms: executor's clock in the answer; 0 if it has none.
        :param sent_ms: steady time before which the call was not sent.
        """
        if not clock_ms or self.clock_offset_ms is None:
            return False
        earliest_ms = sent_ms + self.clock_offset_ms - self._compute_drift(sent_ms)
        return clock_ms < earliest_ms - CLOCK_TOLERANCE_MS

    def _compute_drift(self, now_ms: int) -> int:
        """Return by how much its clock may have fallen behind since it was read."""
        elapsed_ms = max(0, now_ms - self.clock_read_ms)
        return int(elapsed_ms * (MAX_CLOCK_DRIFT_FACTOR - 1))

    def isolate(self, live: LiveSubmission | None, until_ms: int) -> None:
        """Keep it free for a submission, or open it to all with ``None``."""
        self.isolated_for = live
        self.isolated_until_ms = until_ms

    def set_entry(self, entry: ExecutorEntry) -> None:
        """Replace the entry by a newer one."""
        self.entry = entry
        self._update_free()

    def reserve(self, live: LiveSubmission | None, amount: Resources) -> None:
        """Keep capacity for a submission, or for none with ``None``.

        Others get what is free beyond the amount, so that capacity that runs release
        accumulates until it suffices.
        """
        self.reserved_for = live
        self.reserved = amount
        self._update_free()

    def _update_free(self) -> None:
        self.free = self.entry.capacity - self.used
        if self.reserved_for is not None:
            self.free = self.free - self.reserved

    def add_run(self, run: Run) -> None:
        """Track a run that may be on the executor and reserve its capacity."""
        self.runs[run.key] = run
        self._update_usage(run, 1)

    def remove_run(self, run: Run) -> None:
        """Release the capacity of a run that is certainly not on the executor."""
        if self.runs.pop(run.key, None) is not None:
            self._update_usage(run, -1)

    def _update_usage(self, run: Run, sign: int) -> None:
        step_run = run.task.step_run
        step = step_run.step
        self.used = self.used + step.claim if sign > 0 else self.used - step.claim
        self._update_free()
        self.background_count += sign * step.fills
        self.latency_sensitive_count += sign * (step.target_ms > 0)
        if step.fills:
            _add_count(self.background_by_image, step.image, sign)
        if step.target_ms > 0:
            _add_count(self.latency_sensitive_by_image, step.image, sign)
        _add_count(self.count_by_step, step_run, sign)

    def update_clock(self, clock_ms: int, now_ms: int) -> None:
        """Update the clock offset from an answer.

        :param clock_ms: executor's clock; 0 if the answer has none.
        """
        if clock_ms:
            self.clock_offset_ms = clock_ms - now_ms
            self.clock_read_ms = now_ms

    def extend_lease(self, lease_ms: int, now_ms: int) -> int:
        """Compute the deadline of a lease and extend the lease expiry to cover it.

        :returns: the deadline on the executor's clock, or 0 while that is not known.
        """
        if self.clock_offset_ms is None:
            return 0
        self.lease_expiry_ms = max(
            self.lease_expiry_ms, now_ms + compute_lease_expiry_delay(lease_ms)
        )
        drift_ms = self._compute_drift(now_ms)
        return now_ms + self.clock_offset_ms - drift_ms + lease_ms

    def extend_lease_to_limit(self, max_run_lease_ms: int, now_ms: int) -> None:
        """Extend the lease expiry to cover an order with a deadline of another boot.

        Its clock is ahead of the present one, so only the platform's limit bounds the
        lease.

        :param max_run_lease_ms: longest lease that executors grant.
        """
        self.lease_expiry_ms = max(
            self.lease_expiry_ms, now_ms + compute_lease_expiry_delay(max_run_lease_ms)
        )

    def note_visible_end(self, now_ms: int) -> None:
        """Record that its process has closed its connections or its port."""
        if not self.ended_visibly:
            self.ended_visibly = True
            self.ended_ms = now_ms

    def restart(self, boot: int, now_ms: int) -> None:
        """Reset what was learned from another boot."""
        self.boot = boot
        self.boot_known_ms = now_ms
        self.boot_doubtful_ms = 0
        self.former_lease_expiry_ms = max(
            self.former_lease_expiry_ms, self.lease_expiry_ms
        )
        self.fence_confirmed = False
        self.untracked_runs = frozenset()
        self.untracked_stop_ms.clear()
        self.clock_offset_ms = None
        self.received_sequence = 0
        self.acknowledged_sequence = 0
        self.forgotten_sequence = 0
        self.pending_completions.clear()

    @property
    def sequence_to_acknowledge(self) -> int:
        """Sequence number for the next poll; 0 if it has none to forget.

        A poll without a number cannot make a process that has just started again forget
        completions of its own. So there is none while the known boot may have ended.
        """
        if not self.reachable or self.boot_doubtful_ms:
            return 0
        if self.acknowledged_sequence > self.forgotten_sequence:
            return self.acknowledged_sequence
        return 0

    def advance_acknowledged(self) -> bool:
        """Move the acknowledgement cursor over completions that are stored.

        :returns: whether it moved.
        """
        before = self.acknowledged_sequence
        while self.pending_completions and self.pending_completions[0].is_stored:
            self.acknowledged_sequence = self.pending_completions.popleft().sequence
        return self.acknowledged_sequence != before

    @property
    def needs_poll(self) -> bool:
        """Whether a poll can bring news, renew a lease or acknowledge a completion."""
        if self.runs or self.untracked_runs or not self.fence_confirmed:
            return True
        if self.boot_doubtful_ms:
            return True
        if self.registered and not self.reachable:
            return True
        return (
            bool(self.pending_completions)
            or self.acknowledged_sequence < self.received_sequence
        )
