"""Keys of the records in the store, and how they are composed."""

#: Process that leads; the record is bound to its lease.
LEADER_KEY = "cw/leader"
#: Number of the latest leadership; not bound to a lease.
TERM_KEY = "cw/term"
#: Handover record: the runs that a leader listed when it released the leadership.
HANDOVER_KEY = "cw/handover"
#: Entry instances; each record is bound to the lease of its instance.
MEMBER_PREFIX = "cw/m/"
#: Executors on which an earlier leader may have started runs.
EXECUTOR_PREFIX = "cw/e/"
#: Submissions; records that belong to one add a suffix to its key.
SUBMISSION_PREFIX = "cw/j/"
PROGRESS_SUFFIX = "/p"
#: How a submission ended or, as a withdrawal record, that it must not be stored.
FINAL_SUFFIX = "/f"
CANCEL_SUFFIX = "/x"
#: Progress of maintenance waves, from which a new leader learns the completed machines.
WAVE_PROGRESS_PREFIX = "cw/w/"

#: Machines that were ordered lately, from which a new leader learns where it must wait.
ORDERED_MACHINES_KEY = "cw/ordered"
#: Home pool of each machine, in which it is while no queue has a burst.
HOME_POOLS_KEY = "cw/homes"
#: Turns of the queues, from which a new leader forecasts the next ones.
TURNS_KEY = "cw/turns"


def submission_key(submission_id: str) -> str:
    """Return the key of a submission's record."""
    return SUBMISSION_PREFIX + submission_id


def split_submission_key(key: str) -> tuple[str, str]:
    """Split a key under ``SUBMISSION_PREFIX`` into submission id and suffix."""
    submission_id, slash, rest = key[len(SUBMISSION_PREFIX) :].partition("/")
    return submission_id, slash + rest
