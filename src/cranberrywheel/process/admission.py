"""Checks whether a request may enter its queue: API key, headers, size, timeout."""

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
    """Return the configuration of a queue.

    :param snapshot: configuration in force, or ``None`` before the first one.
    :param name: queue name from the request.
    :raises NotReadyError: if there is no configuration yet.
    :raises UnknownQueueError: if the configuration has no such queue.
    """
    if snapshot is None:
        raise NotReadyError(
            "This instance has no configuration yet.", "Retry on another instance."
        )
    queue = snapshot.configuration.queues_by_name.get(name)
    if queue is None:
        raise UnknownQueueError(
            f"There is no queue {name[:64]!r}.",
            "Use the name of a queue in the configuration.",
        )
    return queue


def authorize_team(
    snapshot: ConfigurationSnapshot,
    queue: Queue,
    authorization: str,
    freshness: FreshnessTracker,
    revoked_key_ids: t.Collection[str],
    settings: EntrySettings,
    now_ms: int,
) -> str:
    """Return the team whose API key came with a request.

    :param authorization: the ``Authorization`` header.
    :param freshness: when the keys were last proven to be up to date.
    :param revoked_key_ids: ids of keys revoked since the snapshot was written.
    :param now_ms: reading of the local clock in milliseconds.
    :returns: name of the team, or ``""`` for a queue that needs no key.
    :raises UnauthorizedError: for a missing, wrong or revoked key.
    :raises ForbiddenError: if the team may not use the queue.
    :raises StaleKeysError: if the keys may be out of date.
    """
    if queue.open_to_all:
        return ""
    key = authenticate(authorization, snapshot.keys_by_id, snapshot.revoked_key_ids)
    if key.key_id in revoked_key_ids:
        raise UnauthorizedError(
            "The key was revoked.", "Ask an operator for a new key."
        )
    max_age_ms = settings.key_freshness_ms
    if queue.serve_stale_keys:
        max_age_ms = max(max_age_ms, queue.stale_serve_ms)
    if not freshness.is_fresh(now_ms, max_age_ms):
        raise StaleKeysError(
            "This instance cannot prove that the key is still valid.",
            "Retry; the load balancer may choose an instance that can.",
        )
    team = snapshot.configuration.teams_by_name.get(key.team)
    if team is None or not team.may_use(queue.name):
        raise ForbiddenError(
            f"Team {key.team!r} may not use queue {queue.name!r}.",
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
    """Check an authorized request and compute its deadline.

    :param team: name of the team, or ``""`` for a queue that needs no key.
    :param now_ms: reading of the local clock in milliseconds.
    :raises MalformedRequestError: for a negative timeout or an overlong header.
    :raises RequestTooLargeError: if the body is over ``max_body_bytes``.
    """
    if incoming.timeout_ms < 0:
        raise MalformedRequestError(
            "Request-Timeout-Ms is negative.", "Send a number of milliseconds, or 0."
        )
    if len(incoming.idempotency_key) > MAX_HEADER_CHARS:
        raise MalformedRequestError(
            f"Idempotency-Key has {len(incoming.idempotency_key)} characters, more "
            f"than {MAX_HEADER_CHARS}.",
            "Use a ticket from POST /v1/tickets.",
        )
    if len(incoming.body) > settings.max_body_bytes:
        raise RequestTooLargeError(
            f"The body has {len(incoming.body)} bytes, more than the limit of "
            f"{settings.max_body_bytes}.",
            "Send a smaller body.",
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
