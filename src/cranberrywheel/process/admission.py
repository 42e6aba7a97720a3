"""Whether a request may enter its queue: rights, freshness, size, deadline."""

import typing as t

from cranberrywheel.errors import (
    ForbiddenError,
    MalformedRequestError,
    NotReadyError,
    RequestTooLargeError,
    StaleKeysError,
    UnauthorizedError,
    UnknownQueueError,
)
from cranberrywheel.process.messages import IncomingRequest
from cranberrywheel.request.model import Request
from cranberrywheel.settings import EntrySettings
from cranberrywheel.version.configuration import Queue
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel.version.keys import authenticate
from cranberrywheel.version.snapshot import ConfigurationSnapshot

MAX_HEADER_CHARS = 1_024


def find_queue(snapshot: ConfigurationSnapshot | None, name: str) -> Queue:
    """Look up a queue in the version in force.

    :param snapshot: the version in force, or ``None`` before the first.
    :param name: queue name.
    :raises NotReadyError: without a configuration.
    :raises UnknownQueueError: if the version has no such queue.
    """
    if snapshot is None:
        raise NotReadyError(
            "This instance has no configuration yet.", "Retry at another instance."
        )
    queue = snapshot.configuration.queues_by_name.get(name)
    if queue is None:
        raise UnknownQueueError(
            f"There is no queue {name[:64]!r}.",
            "Use a queue name from the operators' text.",
        )
    return queue


def authorize_team(
    snapshot: ConfigurationSnapshot,
    queue: Queue,
    authorization: str,
    freshness: FreshnessTracker,
    marked_ids: t.Collection[str],
    settings: EntrySettings,
    now_ms: int,
) -> str:
    """Find the team whose key came with a request.

    :param authorization: the ``Authorization`` header.
    :param freshness: shows how current the keys are.
    :param marked_ids: ids of keys withdrawn since the version was written.
    :returns: the team, or ``""`` on an open queue.
    :raises UnauthorizedError: for a missing, wrong or withdrawn key.
    :raises ForbiddenError: if the team has no right to the queue.
    :raises StaleKeysError: if the keys may be out of date.
    """
    if queue.open_to_all:
        return ""
    key = authenticate(authorization, snapshot.keys_by_id, snapshot.revoked_key_ids)
    if key.key_id in marked_ids:
        raise UnauthorizedError("The key was withdrawn.", "Ask an operator for a key.")
    bound_ms = settings.key_freshness_ms
    if queue.serve_stale_keys:
        bound_ms = max(bound_ms, queue.stale_serve_ms)
    if not freshness.is_fresh(now_ms, bound_ms):
        raise StaleKeysError(
            "This instance cannot show that the key is still granted.",
            "Retry; the balancer may choose an instance that can.",
        )
    team = snapshot.configuration.teams_by_name.get(key.team)
    if team is None or not team.may_use(queue.name):
        raise ForbiddenError(
            f"Team {key.team!r} has no right to queue {queue.name!r}.",
            "Ask an operator to list the queue under the team.",
        )
    return team.name


def build_request(
    incoming: IncomingRequest,
    queue: Queue,
    team: str,
    settings: EntrySettings,
    now_ms: int,
) -> Request:
    """Check an authorized request and give it a deadline.

    :raises MalformedRequestError: for a bad timeout or an overlong header.
    :raises RequestTooLargeError: if the body is over the limit.
    """
    if incoming.timeout_ms < 0:
        raise MalformedRequestError(
            "Request-Timeout-Ms is below zero.", "Send a positive number."
        )
    if len(incoming.idempotency_key) > MAX_HEADER_CHARS:
        raise MalformedRequestError(
            f"Idempotency-Key is over {MAX_HEADER_CHARS} characters.",
            "Use a ticket from POST /v1/tickets.",
        )
    if len(incoming.body) > settings.max_body_bytes:
        raise RequestTooLargeError(
            f"The body is over {settings.max_body_bytes} bytes.", "Send less."
        )
    timeout_ms = min(incoming.timeout_ms or queue.timeout_ms, queue.timeout_ms)
    return Request(
        request_id=incoming.request_id,
        queue=queue.name,
        service=queue.service,
        team=team,
        body=incoming.body,
        content_type=incoming.content_type,
        arrived_ms=now_ms,
        deadline_ms=now_ms + timeout_ms,
        idempotent=queue.idempotent,
        urgent=queue.urgent,
        ticket="" if queue.idempotent else incoming.idempotency_key,
        traceparent=incoming.traceparent,
    )
