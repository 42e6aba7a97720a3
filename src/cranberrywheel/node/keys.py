"""Keys of the records that the product keeps in the store."""

#: Holder of the leadership, under the holder's lease.
LEADER_KEY = "cw/leader"
#: Number of the last leadership; outlives its holder.
TERM_KEY = "cw/term"
#: Runs that the last leader accounted for when it gave the leadership up.
HANDOVER_KEY = "cw/handover"
#: Entry instances, each under its own lease.
MEMBER_PREFIX = "cw/m/"
#: Executors on which an earlier leader may have started something.
EXECUTOR_PREFIX = "cw/e/"
#: Submissions with what belongs to them.
SUBMISSION_PREFIX = "cw/j/"
PROGRESS_SUFFIX = "/p"
FINAL_SUFFIX = "/f"
CANCEL_SUFFIX = "/x"
#: Progress of waves, so that a new leader knows which machines are done.
WAVE_PREFIX = "cw/w/"

#: Pool to which each machine belongs when no queue has its turn.
HOME_POOLS_KEY = "cw/homes"


def submission_key(submission_id: str) -> str:
    """Return the key of a submission's record."""
    return SUBMISSION_PREFIX + submission_id


def split_submission_key(key: str) -> tuple[str, str]:
    """Split a key under ``SUBMISSION_PREFIX`` into id and suffix."""
    submission_id, slash, rest = key[len(SUBMISSION_PREFIX) :].partition("/")
    return submission_id, slash + rest
