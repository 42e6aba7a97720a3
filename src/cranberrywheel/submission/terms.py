"""Settings of queues and organisations that the configuration does not name.

A submission goes on after its queue or its organisation has left the configuration, and
the leader may learn of it before the configuration that names them. Its attempts, its
place in the order and its quota must not become defaults meanwhile: a task would be
given up after its first failed run, or an organisation would have no limit.
"""

import math
import sys
import typing as t

from cranberrywheel.json_body import MAX_INTEGER
from cranberrywheel.submission.model import (
    Configuration,
    Organisation,
    Queue,
    Resources,
    Submission,
    Terms,
)

#: Attempts of a queue of which nothing is known: no failed run is the last one.
UNKNOWN_ATTEMPTS = sys.maxsize


def _limit(value: t.Any) -> t.Any:
    """Return the nearest number that a stored record can hold."""
    if math.isnan(value):
        return 0.0
    return max(-MAX_INTEGER, min(MAX_INTEGER, value))


def build_terms(queue: Queue, organisation: Organisation | None) -> Terms:
    """Return the terms of a submission to a queue.

    :param organisation: owner of the submission; ``None`` for a call without API key.
    """
    organisation = organisation or Organisation("")
    quota = organisation.quota
    return Terms(
        queue_name=queue.name,
        priority=_limit(queue.priority),
        attempts=_limit(queue.attempts),
        objective_factor=_limit(queue.objective_factor),
        objective_ms=_limit(queue.objective_ms),
        advised=queue.advised,
        weight=_limit(organisation.weight),
        quota=Resources(_limit(quota.cpu), _limit(quota.memory_mb), _limit(quota.gpu)),
    )


def restore_queue(submission: Submission) -> Queue:
    """Return the queue of a submission as its terms describe it.

    Records of earlier versions have no terms; their submissions are not given up for
    failed runs until the configuration names their queue.
    """
    host, _, prefix = submission.queue.partition(" ")
    terms = submission.terms
    if terms is None:
        return Queue("", host, prefix, submission.service, attempts=UNKNOWN_ATTEMPTS)
    return Queue(
        name=terms.queue_name,
        host=host,
        prefix=prefix,
        service=submission.service,
        priority=terms.priority,
        attempts=terms.attempts,
        objective_factor=terms.objective_factor,
        objective_ms=terms.objective_ms,
        advised=terms.advised,
    )


class LastKnownSettings:
    """Queues and organisations as the leader last knew them.

    The configuration in force goes first. What it no longer names stays as it was while
    a submission needs it, and what it never named follows the submissions' terms.
    """

    def __init__(self) -> None:
        self._queues_by_key: dict[str, Queue] = {}
        self._organisations_by_name: dict[str, Organisation] = {}
        #: Acceptance of the submission that an organisation was learned from, in Unix
        #: milliseconds; for those that no configuration has named.
        self._learned_ms_by_name: dict[str, int] = {}

    def set_configuration(
        self, configuration: Configuration, submissions: t.Iterable[Submission]
    ) -> None:
        """Take over a newer configuration.

        :param submissions: submissions that have not ended; settings that neither they
            nor the configuration name are forgotten.
        """
        queues = dict(configuration.queues_by_key)
        organisations = dict(configuration.organisations_by_name)
        for submission in submissions:
            queue = self._queues_by_key.get(submission.queue)
            if queue is not None:
                queues.setdefault(submission.queue, queue)
            organisation = self._organisations_by_name.get(submission.organisation)
            if organisation is not None:
                organisations.setdefault(submission.organisation, organisation)
        self._queues_by_key = queues
        self._organisations_by_name = organisations
        self._learned_ms_by_name = {
            name: accepted_ms
            for name, accepted_ms in self._learned_ms_by_name.items()
            if name in organisations and name not in configuration.organisations_by_name
        }

    def add_submission(self, submission: Submission) -> None:
        """Learn an organisation that no configuration has named from a submission.

        The submission that was accepted last counts.
        """
        terms, name = submission.terms, submission.organisation
        if terms is None or not name:
            return
        learned_ms = self._learned_ms_by_name.get(name)
        if name in self._organisations_by_name and (
            learned_ms is None or submission.accepted_ms <= learned_ms
        ):
            return
        self._learned_ms_by_name[name] = submission.accepted_ms
        self._organisations_by_name[name] = Organisation(
            name, terms.weight, terms.quota
        )

    def find_queue(self, submission: Submission) -> Queue:
        """Return the queue of a submission."""
        queue = self._queues_by_key.get(submission.queue)
        return restore_queue(submission) if queue is None else queue

    def find_organisation(self, name: str) -> Organisation | None:
        """Return an organisation; ``None`` for an empty or unknown name."""
        return self._organisations_by_name.get(name)
