"""Client of the platform: key-value store, leases, instance list and pools."""

import dataclasses
import io
import json
import typing as t
import urllib.parse

import pycurl

from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cranberrywheel.settings import PlatformSettings

MAX_ANSWER_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True)
class Record:
    """A value of the key-value store with its revision."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Instance:
    """An entry of the platform's instance list."""

    instance_id: str
    kind: str
    zone: str
    rack: str
    address: str
    leaving: bool
    cores: float
    memory_mb: int


@dataclasses.dataclass(frozen=True)
class InstanceList:
    """The instance list; ``age_ms`` is how far it lags behind, in milliseconds."""

    revision: int
    age_ms: int
    instances: tuple[Instance, ...]


class StoreClient:
    """Calls the platform over one connection; not thread-safe.

    :param settings: URL and timeout.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._curl = pycurl.Curl()
        self._cached_listings_by_prefix: dict[str, tuple[int, list[Record]]] = {}
        self._instance_list = InstanceList(0, 0, ())

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def _call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        extra_wait_ms: int = 0,
        headers: tuple[str, ...] = (),
    ) -> tuple[int, t.Any]:
        answer = io.BytesIO()

        def write(chunk: bytes) -> int | None:
            if answer.tell() + len(chunk) > MAX_ANSWER_BYTES:
                return -1
            return answer.write(chunk)

        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, self._settings.url + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, self._settings.timeout_ms + extra_wait_ms)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, self._settings.timeout_ms)
        curl.setopt(pycurl.WRITEFUNCTION, write)
        if method != "GET":
            # libcurl repeats a request if a reused connection is closed before the
            # answer. A repeated write would be reported as a conflict.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if body is not None:
            data = json.dumps(body).encode()
            curl.setopt(pycurl.POSTFIELDS, data)
            headers = ("Content-Type: application/json", "Expect:", *headers)
        curl.setopt(pycurl.HTTPHEADER, list(headers))
        try:
            curl.perform()
        except pycurl.error as error:
            raise StoreUnavailableError(
                f"{method} {path} was not answered: {error.args[1]}.",
                "Check the platform's key-value service and the network.",
            ) from None
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        if status >= 500:
            raise StoreUnavailableError(
                f"{method} {path} was answered with status {status}.",
                "Check the platform's key-value service.",
            )
        return status, self._decode(method, path, status, answer.getvalue())

    @staticmethod
    def _decode(method: str, path: str, status: int, data: bytes) -> t.Any:
        if not data:
            return {}
        try:
            return json.loads(data)
        except ValueError:
            raise StoreUnavailableError(
                f"{method} {path} was answered with status {status} and no JSON.",
                "Check which service listens on the platform's address.",
            ) from None

    def get(
        self, key: str, newer_than: int = 0, wait_ms: int = 0
    ) -> Record | None | t.Literal["unchanged"]:
        """Read a record, or wait for a newer revision of it.

        :param key: key of the record.
        :param newer_than: revision that is already known.
        :param wait_ms: longest time in milliseconds that the store waits for a newer
            revision.
        :returns: the record, ``None`` if there is none, or ``"unchanged"``.
        :raises StoreUnavailableError: if there is no usable answer.
        """
        query = urllib.parse.urlencode({"newer_than": newer_than, "wait_ms": wait_ms})
        path = f"/v1/kv/{urllib.parse.quote(key)}?{query}"
        status, body = self._call("GET", path, extra_wait_ms=wait_ms)
        if status == 304:
            return "unchanged"
        if status == 404:
            return None
        return self._parse_record(key, status, body)

    @staticmethod
    def _parse_record(key: str, status: int, body: t.Any) -> Record:
        try:
            return Record(key, str(body["value"]), int(body["revision"]))
        except (KeyError, TypeError, ValueError):
            raise StoreUnavailableError(
                f"Reading {key} returned status {status} and no record.",
                "Check the platform's key-value service.",
            ) from None

    def list(self, prefix: str) -> list[Record]:
        """Read all records under a prefix.

        The store sends them only if a record under the prefix has changed since the
        last call; otherwise the cached list is returned.

        :param prefix: prefix of the keys.
        :raises StoreUnavailableError: if there is no usable answer.
        """
        known_revision, records = self._cached_listings_by_prefix.get(prefix, (0, []))
        query = urllib.parse.urlencode({"prefix": prefix, "newer_than": known_revision})
        status, body = self._call("GET", f"/v1/kv?{query}")
        if status == 304:
            return records
        try:
            records = [self._parse_record(i["key"], status, i) for i in body["items"]]
            self._cached_listings_by_prefix[prefix] = (int(body["revision"]), records)
            return records
        except (KeyError, TypeError, ValueError):
            raise StoreUnavailableError(
                f"Listing {prefix} returned status {status} and no items.",
                "Check the platform's key-value service.",
            ) from None

    def put(self, key: str, value: str, expected_revision: int, lease: str = "") -> int:
        """Write a record by compare-and-swap.

        :param key: key of the record.
        :param value: new value, up to a megabyte.
        :param expected_revision: revision that must be stored; 0 if there must be no
            record.
        :param lease: lease with which the record expires, or ``""``.
        :returns: the new revision.
        :raises StoreConflictError: if another revision is stored.
        :raises LeaseLostError: if the lease has expired.
        :raises StoreUnavailableError: if there is no usable answer; the write may have
            taken effect.
        :raises StoreError: if the store refused the write.
        """
        body = {"value": value, "expected_revision": expected_revision, "lease": lease}
        status, answer = self._call("PUT", f"/v1/kv/{urllib.parse.quote(key)}", body)
        if status == 412:
            raise StoreConflictError(
                f"{key} has another revision than {expected_revision}.",
                "Read it again and retry.",
                int(answer.get("revision", 0)),
            )
        if status == 404:
            raise LeaseLostError(
                f"The lease for {key} has expired.", "Grant a new lease."
            )
        if status != 200:
            raise StoreError(
                f"Writing {key} was refused with status {status}.",
                "Check the size of the value.",
            )
        return int(answer["revision"])

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete a record by compare-and-swap.

        :param key: key of the record.
        :param expected_revision: revision that must be stored.
        :raises StoreConflictError: if another revision is stored.
        """
        path = f"/v1/kv/{urllib.parse.quote(key)}?expected_revision={expected_revision}"
        status, answer = self._call("DELETE", path)
        if status == 412:
            raise StoreConflictError(
                f"{key} has another revision than {expected_revision}.",
                "Read it again and retry.",
                int(answer.get("revision", 0)),
            )

    def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease.

        :param ttl_ms: time to live in milliseconds without renewal.
        :returns: the lease id.
        :raises StoreUnavailableError: if there is no usable answer.
        """
        status, answer = self._call("POST", "/v1/leases", {"ttl_ms": ttl_ms})
        try:
            return str(answer["lease"])
        except (KeyError, TypeError):
            raise StoreUnavailableError(
                f"Granting a lease was answered with status {status} and no lease.",
                "Check the platform's key-value service.",
            ) from None

    def renew_lease(self, lease: str) -> None:
        """Renew a lease.

        The caller must measure the time to live from before this call.

        :param lease: the lease id.
        :raises LeaseLostError: if the lease has expired.
        :raises StoreUnavailableError: if there is no usable answer.
        """
        status, _ = self._call("POST", f"/v1/leases/{lease}/renewal", {})
        if status == 404:
            raise LeaseLostError("The lease has expired.", "Grant a new lease.")
        if status != 200:
            # Taking a refused renewal for a success would extend the use of quota
            # units beyond their lease.
            raise StoreUnavailableError(
                f"Renewing the lease was answered with status {status}.",
                "Check the platform's key-value service.",
            )

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete the records that are bound to it."""
        self._call("DELETE", f"/v1/leases/{lease}")

    def instances(self) -> InstanceList:
        """Read the instance list, which the platform updates with a delay.

        The platform sends the list only if it has changed since the last call;
        otherwise the cached list is returned with its present age.

        :raises StoreUnavailableError: if there is no usable answer.
        """
        cached = self._instance_list
        _, body = self._call("GET", f"/v1/instances?newer_than={cached.revision}")
        try:
            if "instances" not in body and int(body["revision"]) == cached.revision:
                return dataclasses.replace(cached, age_ms=int(body["age_ms"]))
            rows = tuple(
                Instance(
                    instance_id=str(row["id"]),
                    kind=str(row["kind"]),
                    zone=str(row["zone"]),
                    rack=str(row["rack"]),
                    address=str(row["address"]),
                    leaving=row["state"] == "leaving",
                    cores=float(row["cores"]),
                    memory_mb=int(row["memory_mb"]),
                )
                for row in body["instances"]
            )
            revision, age_ms = int(body["revision"]), int(body["age_ms"])
            self._instance_list = InstanceList(revision, age_ms, rows)
            return self._instance_list
        except (KeyError, TypeError, ValueError):
            raise StoreUnavailableError(
                "The instance list is malformed.",
                "Check the version of the platform.",
            ) from None

    def control_instance(self, instance: str, action: str, fence: int) -> bool:
        """Ask the platform to drain, undrain or reboot an instance.

        :param instance: instance id.
        :param action: ``drain``, ``undrain`` or ``reboot``.
        :param fence: fencing token of the caller's planner lease.
        :returns: false if the platform has seen a higher fencing token.
        :raises StoreError: if the platform does not know the instance.
        """
        path = f"/v1/instances/{urllib.parse.quote(instance)}/{action}"
        status, _ = self._call("POST", path, {}, headers=(f"Fence: {fence}",))
        if status == 404:
            raise StoreError(
                f"The platform does not know the instance {instance}.",
                "Wait until the instance list is updated.",
            )
        return status != 409
