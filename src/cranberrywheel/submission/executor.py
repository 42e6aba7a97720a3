"""State of one executor as the leader knows it."""

import collections
import dataclasses

from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.live import LiveSubmission, Run, StepRun
from cranberrywheel.submission.model import NO_RESOURCES, Resources

#: An executor's clock may be 2% slow, so a lease may last that much longer.
MAX_CLOCK_DRIFT_FACTOR = 1.02
#: Covers the time of a call and rounding when a lease is counted out.
EXPIRY_SLACK_MS = 200


def lease_expiry_delay_ms(lease_ms: int) -> int:
    """Return the time after which a lease has certainly ended, in milliseconds."""
    return int(lease_ms * MAX_CLOCK_DRIFT_FACTOR) + EXPIRY_SLACK_MS


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCompletion:
    """An end that may be acknowledged once its submission's record is stored."""

    sequence: int
    live: LiveSubmission | None
    version: int

    @property
    def is_stored(self) -> bool:
        """Whether nothing is lost if the executor forgets the end."""
        live = self.live
        return live is None or live.final_stored or live.stored_version >= self.version


class Executor:
    """One executor: what runs on it, its lease and its reachability.

    :ivar fenced: it has seen this leader's fence in its present boot.
    :ivar lapse_ms: when every lease that any order may have granted has ended.
    :ivar reachable: the last look was answered.
    :ivar cordoned: takes no new work, for planned work on its machine.
    :ivar free: capacity that no run claims.
    :ivar count_by_step: runs of each step that are here.
    :ivar trouble: recent failures of runs, decaying; see :mod:`.suspicion`.
    """

    def __init__(
        self, entry: ExecutorEntry, registered: bool, lease_expiry_ms: int
    ) -> None:
        self.entry = entry
        self.registered = registered
        self.boot = 0
        self.fence_confirmed = False
        self.reachable = True
        self.lease_expiry_ms = lease_expiry_ms
        self.runs: dict[tuple[str, int], Run] = {}
        self.used: Resources = NO_RESOURCES
        self.free: Resources = entry.capacity
        self.count_by_step: dict[StepRun, int] = {}
        self.cordoned = False
        self.clock_offset_ms: int | None = None
        self.clock_read_ms = 0
        self.received_sequence = 0
        self.acknowledged_sequence = 0
        self.pending_completions: collections.deque[PendingCompletion] = (
            collections.deque()
        )
        self.unregistered_ms = 0
        self.fault_count = 0.0
        self.fault_counted_ms = 0
        self.suspect_until_ms = 0
        self.background_count = 0
        self.latency_sensitive_count = 0

    @property
    def id(self) -> str:
        """Id of the executor."""
        return self.entry.id

    @property
    def is_usable(self) -> bool:
        """Whether new runs may start here."""
        return (
            self.registered
            and self.fence_confirmed
            and self.reachable
            and not self.entry.draining
            and not self.cordoned
        )

    def set_entry(self, entry: ExecutorEntry) -> None:
        """Take a newer entry over."""
        self.entry = entry
        self.free = entry.capacity - self.used

    def add_run(self, run: Run) -> None:
        """Count a run that may be there."""
        self.runs[run.key] = run
        self._count(run, 1)

    def remove_run(self, run: Run) -> None:
        """Count a run that is certainly not there any more."""
        if self.runs.pop(run.key, None) is not None:
            self._count(run, -1)

    def _count(self, run: Run, sign: int) -> None:
        step_run = run.task.step_run
        step = step_run.step
        self.used = self.used + step.claim if sign > 0 else self.used - step.claim
        self.free = self.entry.capacity - self.used
        self.background_count += sign * step.fills
        self.latency_sensitive_count += sign * (step.target_ms > 0)
        count = self.count_by_step.get(step_run, 0) + sign
        if count:
            self.count_by_step[step_run] = count
        else:
            self.count_by_step.pop(step_run, None)

    def update_clock(self, clock_ms: int, now_ms: int) -> None:
        """Learn the executor's clock from an answer."""
        if clock_ms:
            self.clock_offset_ms = clock_ms - now_ms
            self.clock_read_ms = now_ms

    def extend_lease(self, lease_ms: int, now_ms: int) -> int:
        """Return a deadline on the executor's clock and count the lease.

        :returns: the deadline, or 0 while the clock is not known.
        """
        if self.clock_offset_ms is None:
            return 0
        self.lease_expiry_ms = max(
            self.lease_expiry_ms, now_ms + lease_expiry_delay_ms(lease_ms)
        )
        # A slow clock has moved less than ours since it was read.
        drift_ms = int((now_ms - self.clock_read_ms) * (MAX_CLOCK_DRIFT_FACTOR - 1))
        return now_ms + self.clock_offset_ms - drift_ms + lease_ms

    def restart(self, boot: int) -> None:
        """Forget what an earlier boot has said."""
        self.boot = boot
        self.fence_confirmed = False
        self.clock_offset_ms = None
        self.received_sequence = 0
        self.acknowledged_sequence = 0
        self.pending_completions.clear()

    def advance_acknowledged(self) -> bool:
        """Move the cursor over ends that are stored; true if it moved."""
        before = self.acknowledged_sequence
        while self.pending_completions and self.pending_completions[0].is_stored:
            self.acknowledged_sequence = self.pending_completions.popleft().sequence
        return self.acknowledged_sequence != before

    @property
    def needs_poll(self) -> bool:
        """Whether there is anything to learn or to renew."""
        if self.runs or not self.fence_confirmed:
            return True
        return (
            bool(self.pending_completions)
            or self.acknowledged_sequence < self.received_sequence
        )
