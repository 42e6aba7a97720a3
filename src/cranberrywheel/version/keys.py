"""Team keys: creation, hashing and authentication."""

import collections.abc
import hashlib
import hmac
import secrets

from cranberrywheel.errors import UnauthorizedError
from cranberrywheel.version.snapshot import KeyEntry

KEY_ID_BYTES = 6
SECRET_BYTES = 24


def hash_secret(secret: str) -> str:
    """Hash the secret part of a key.

    A hash without salt and stretching is sufficient, because the secret is random and
    too long for an exhaustive search.

    :param secret: the part of the key after the dot.
    :returns: hexadecimal SHA-256 digest.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def create_key(team: str) -> tuple[str, KeyEntry]:
    """Create a key for a team.

    :param team: name of the team.
    :returns: the complete key ``<key id>.<secret>``, which must be shown only once,
        and its entry.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return f"{key_id}.{secret}", KeyEntry(key_id, team, hash_secret(secret))


def authenticate(
    authorization: str,
    keys_by_id: collections.abc.Mapping[str, KeyEntry],
    revoked_key_ids: collections.abc.Collection[str],
) -> KeyEntry:
    """Check the ``Authorization`` header of a request.

    The secret is compared in constant time.

    :param authorization: value of the header, or ``""``.
    :param keys_by_id: granted keys.
    :param revoked_key_ids: ids of keys that are rejected even if granted.
    :returns: the entry of the key.
    :raises UnauthorizedError: if the key is missing, wrong or revoked.
    """
    scheme, _, key = authorization.partition(" ")
    key_id, dot, secret = key.strip().partition(".")
    if scheme.lower() != "bearer" or not dot:
        raise UnauthorizedError(
            "The request has no team key.",
            "Send 'Authorization: Bearer <key>' with a key that operators granted.",
        )
    entry = keys_by_id.get(key_id)
    expected = entry.secret_sha256 if entry else ""
    matches = hmac.compare_digest(hash_secret(secret), expected)
    if entry is None or not matches or key_id in revoked_key_ids:
        raise UnauthorizedError(
            "The team key is not valid.", "Ask the operators for a granted key."
        )
    return entry
