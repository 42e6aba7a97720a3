"""Stand-in for the platform: key-value service, leases and instance list."""

import dataclasses
import itertools
import json
import threading
import time
import typing as t

import werkzeug
from werkzeug.exceptions import HTTPException, NotFound
from werkzeug.routing import Map, Rule

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass
class StoredEntry:
    """One value of the key-value service.

    :param lease: id of the lease with which the value expires; empty for none.
    """

    value: str
    revision: int
    lease: str


@dataclasses.dataclass
class PlatformFaults:
    """Injected faults of the platform, set with ``PUT /v1/faults``.

    :param outage: all calls are answered with 503.
    :param slow_ms: additional delay of each call.
    :param lose_answers: number of coming writes that take effect but are answered
        with 503.
    :param list_lag_ms: age of the instance list that is shown.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    list_lag_ms: int = 0


class Platform:
    """State of the platform behind its HTTP service.

    :param now_s: clock in seconds; tests replace it.
    :param on_write: called with key, value and revision of each write.
    :param on_state: called with id and new state when an instance's state changes.
    """

    def __init__(
        self,
        now_s: t.Callable[[], float] = time.monotonic,
        on_write: t.Callable[[str, str, int], None] = lambda key, value, rev: None,
        on_state: t.Callable[[str, str], None] = lambda instance, state: None,
    ) -> None:
        self._now_s = now_s
        self._on_write = on_write
        self._on_state_change = on_state
        self.changed = threading.Condition()
        self.entries_by_key: dict[str, StoredEntry] = {}
        self._lease_times_by_id: dict[str, tuple[float, int]] = {}
        self._revision = 0
        self._revision_by_key: dict[str, int] = {}
        self._ids = itertools.count(1)
        self.instances_by_id: dict[str, dict[str, t.Any]] = {}
        self._list_revision = 0
        self._snapshots: list[tuple[float, int, str]] = []
        self._highest_fence_by_instance: dict[str, int] = {}
        self.faults = PlatformFaults()
        self.count_by_call: dict[str, int] = {}

    def count_call(self, call: str) -> None:
        """Count one call of a kind, for ``GET /v1/counters``."""
        with self.changed:
            self.count_by_call[call] = self.count_by_call.get(call, 0) + 1

    def _expire_leases(self) -> None:
        now_s = self._now_s()
        expired_leases = {
            lease
            for lease, (end_s, _) in self._lease_times_by_id.items()
            if end_s <= now_s
        }
        for lease in expired_leases:
            self._end_lease(lease)

    def _end_lease(self, lease: str) -> None:
        self._lease_times_by_id.pop(lease, None)
        for key in [
            key for key, entry in self.entries_by_key.items() if entry.lease == lease
        ]:
            del self.entries_by_key[key]
            self._record_change(key)
        self.changed.notify_all()

    def get(self, key: str) -> StoredEntry | None:
        """Read one value."""
        with self.changed:
            self._expire_leases()
            return self.entries_by_key.get(key)

    def watch(
        self, key: str, newer_than: int, wait_ms: int
    ) -> StoredEntry | None | str:
        """Wait until the value of a key is newer than a revision.

        :param wait_ms: longest wait.
        :returns: the newer entry, ``None`` if the key has no value, or ``"unchanged"``.
        """
        end_s = self._now_s() + wait_ms / 1000
        with self.changed:
            while True:
                self._expire_leases()
                entry = self.entries_by_key.get(key)
                if entry is None and newer_than == 0 and wait_ms == 0:
                    return None
                if entry is not None and entry.revision > newer_than:
                    return entry
                if entry is None and newer_than > 0:
                    return None
                remaining_s = end_s - self._now_s()
                if remaining_s <= 0 or self.faults.outage:
                    return "unchanged" if entry is not None else None
                self.changed.wait(min(remaining_s, 0.2))

    def _record_change(self, key: str) -> None:
        self._revision += 1
        self._revision_by_key[key] = self._revision

    def list_revision(self, prefix: str) -> int:
        """Return the revision of the last change or deletion under a prefix."""
        with self.changed:
            self._expire_leases()
            return max(
                (
                    revision
                    for key, revision in self._revision_by_key.items()
                    if key.startswith(prefix)
                ),
                default=0,
            )

    def list(self, prefix: str) -> list[dict[str, t.Any]]:
        """Read all values under a prefix."""
        with self.changed:
            self._expire_leases()
            return [
                {"key": key, "value": entry.value, "revision": entry.revision}
                for key, entry in sorted(self.entries_by_key.items())
                if key.startswith(prefix)
            ]

    def put(
        self, key: str, value: str, expected: int, lease: str
    ) -> tuple[int, dict[str, t.Any]]:
        """Write a value if its revision is the expected one.

        :param expected: revision of the current value; 0 if there must be none.
        :param lease: id of the lease with which the value expires; empty for none.
        :returns: HTTP status and body: 412 with another revision, 404 if the lease has
            expired, 413 if the value is longer than ``MAX_VALUE_BYTES``.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            return 413, {}
        with self.changed:
            self._expire_leases()
            if lease and lease not in self._lease_times_by_id:
                return 404, {}
            entry = self.entries_by_key.get(key)
            revision = entry.revision if entry else 0
            if revision != expected:
                return 412, {"revision": revision}
            self._record_change(key)
            self.entries_by_key[key] = StoredEntry(value, self._revision, lease)
            self._on_write(key, value, self._revision)
            self.changed.notify_all()
            return 200, {"revision": self._revision}

    def delete(self, key: str, expected: int) -> tuple[int, dict[str, t.Any]]:
        """Delete a value if its revision is the expected one.

        :returns: HTTP status and body: 412 with another revision.
        """
        with self.changed:
            self._expire_leases()
            entry = self.entries_by_key.get(key)
            revision = entry.revision if entry else 0
            if revision != expected:
                return 412, {"revision": revision}
            if entry:
                del self.entries_by_key[key]
                self._record_change(key)
                self.changed.notify_all()
            return 200, {}

    def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease; returns its id."""
        with self.changed:
            lease = f"lease-{next(self._ids)}"
            self._lease_times_by_id[lease] = (self._now_s() + ttl_ms / 1000, ttl_ms)
            return lease

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; returns false if it has expired."""
        with self.changed:
            self._expire_leases()
            if lease not in self._lease_times_by_id:
                return False
            ttl_ms = self._lease_times_by_id[lease][1]
            self._lease_times_by_id[lease] = (self._now_s() + ttl_ms / 1000, ttl_ms)
            return True

    def revoke_lease(self, lease: str) -> None:
        """End a lease and delete the values under it."""
        with self.changed:
            self._end_lease(lease)

    def set_instance(self, instance: str, fields: dict[str, t.Any]) -> None:
        """Add an instance to the list or change its fields."""
        with self.changed:
            row = self.instances_by_id.setdefault(
                instance,
                {
                    "id": instance,
                    "kind": "worker",
                    "zone": "",
                    "rack": "",
                    "address": "",
                    "state": "live",
                    "cores": 1.0,
                    "memory_mb": 1024,
                },
            )
            old_state = row["state"]
            row.update(fields)
            self._add_list_snapshot()
            if row["state"] != old_state:
                self._on_state_change(instance, row["state"])

    def remove_instance(self, instance: str) -> None:
        """Remove an instance from the list."""
        with self.changed:
            self.instances_by_id.pop(instance, None)
            self._add_list_snapshot()

    def _add_list_snapshot(self) -> None:
        rows = json.dumps(list(self.instances_by_id.values()))
        now_s = self._now_s()
        newest_visible_s = now_s - self.faults.list_lag_ms / 1000
        # Of the snapshots older than the lag, only the newest can still be returned.
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= newest_visible_s:
            del self._snapshots[0]
        self._list_revision += 1
        self._snapshots.append((now_s, self._list_revision, rows))

    def instance_list(self) -> dict[str, t.Any]:
        """Return the newest instance list that is at least ``list_lag_ms`` old."""
        with self.changed:
            if not self._snapshots:
                return {"revision": 0, "age_ms": 0, "instances": []}
            newest_visible_s = self._now_s() - self.faults.list_lag_ms / 1000
            visible_snapshot = self._snapshots[0]
            for snapshot in self._snapshots:
                if snapshot[0] <= newest_visible_s:
                    visible_snapshot = snapshot
            return {
                "revision": visible_snapshot[1],
                "age_ms": self.faults.list_lag_ms,
                "instances": json.loads(visible_snapshot[2]),
            }

    def accept_fence(self, instance: str, fence: int) -> bool:
        """Record a fencing token for an instance.

        :returns: false if a higher token was already recorded.
        """
        with self.changed:
            if fence < self._highest_fence_by_instance.get(instance, 0):
                return False
            self._highest_fence_by_instance[instance] = fence
            return True


VIEWING_ZONE_KEY = "standin.view"
"""environ key of the zone of the caller; see :class:`PlatformApp`."""


def strip_view_prefix(environ: t.Any) -> None:
    """Move the zone of a prefix ``/view/<zone>`` from the path to environ."""
    path = environ["PATH_INFO"]
    if path.startswith("/view/"):
        _, _, environ[VIEWING_ZONE_KEY], rest = path.split("/", 3)
        environ["PATH_INFO"] = "/" + rest


class PlatformApp:
    """WSGI application of the platform stand-in.

    For a caller whose base URL ends in ``/view/<zone>``, the instance list shows the
    addresses that ``addresses`` has for that zone, so that each zone can reach the
    workers through its own relays.

    :param platform: state to serve.
    :param send_worker_action: called with a worker's address and the action to drain,
        undrain or reboot it.
    """

    def __init__(
        self,
        platform: Platform,
        send_worker_action: t.Callable[[str, str], None] = lambda address, action: None,
    ) -> None:
        self.platform = platform
        self._send_worker_action = send_worker_action
        self._routes = Map(
            [
                Rule("/v1/kv", endpoint=self._list_values, methods=["GET"]),
                Rule("/v1/kv/<path:key>", endpoint=self._get_value, methods=["GET"]),
                Rule("/v1/kv/<path:key>", endpoint=self._put_value, methods=["PUT"]),
                Rule(
                    "/v1/kv/<path:key>", endpoint=self._delete_value, methods=["DELETE"]
                ),
                Rule("/v1/leases", endpoint=self._grant_lease, methods=["POST"]),
                Rule(
                    "/v1/leases/<lease>/renewal",
                    endpoint=self._renew_lease,
                    methods=["POST"],
                ),
                Rule(
                    "/v1/leases/<lease>",
                    endpoint=self._revoke_lease,
                    methods=["DELETE"],
                ),
                Rule("/v1/instances", endpoint=self._list_instances, methods=["GET"]),
                Rule(
                    "/v1/instances/<name>", endpoint=self._set_instance, methods=["PUT"]
                ),
                Rule(
                    "/v1/instances/<name>",
                    endpoint=self._remove_instance,
                    methods=["DELETE"],
                ),
                Rule(
                    "/v1/instances/<name>/<any(drain,undrain,reboot):action>",
                    endpoint=self._control_instance,
                    methods=["POST"],
                ),
                Rule("/v1/faults", endpoint=self._set_faults, methods=["PUT"]),
                Rule("/v1/counters", endpoint=self._get_counters, methods=["GET"]),
            ]
        )

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        strip_view_prefix(environ)
        request = werkzeug.Request(environ)
        try:
            endpoint, values = self._routes.bind_to_environ(environ).match()
            response = self._answer_request(request, endpoint, values)
        except HTTPException as error:
            response = error.get_response(environ)
        return response(environ, start_response)

    def _answer_request(
        self, request: werkzeug.Request, endpoint: t.Any, values: t.Any
    ) -> t.Any:
        if endpoint not in (
            self._set_faults,
            self._get_counters,
            self._set_instance,
            self._remove_instance,
        ):
            self.platform.count_call(f"{request.method} {request.path.split('/')[2]}")
            faults = self.platform.faults
            if faults.slow_ms:
                time.sleep(faults.slow_ms / 1000)
            if faults.outage:
                return werkzeug.Response(status=503)
            if request.method in ("PUT", "DELETE") and faults.lose_answers > 0:
                faults.lose_answers -= 1
                endpoint(request, **values)
                return werkzeug.Response(status=503)
        return endpoint(request, **values)

    @staticmethod
    def _build_json_response(body: t.Any, status: int = 200) -> werkzeug.Response:
        return werkzeug.Response(
            json.dumps(body), status=status, content_type="application/json"
        )

    def _build_entry_response(
        self, entry: StoredEntry | None | str
    ) -> werkzeug.Response:
        if entry is None:
            return self._build_json_response({}, 404)
        if isinstance(entry, str):
            return werkzeug.Response(status=304)
        return self._build_json_response(
            {"value": entry.value, "revision": entry.revision}
        )

    def _get_value(self, request: werkzeug.Request, key: str) -> werkzeug.Response:
        newer_than = request.args.get("newer_than", 0, type=int)
        wait_ms = request.args.get("wait_ms", 0, type=int)
        if newer_than or wait_ms:
            return self._build_entry_response(
                self.platform.watch(key, newer_than, wait_ms)
            )
        return self._build_entry_response(self.platform.get(key))

    def _list_values(self, request: werkzeug.Request) -> werkzeug.Response:
        prefix = request.args.get("prefix", "")
        revision = self.platform.list_revision(prefix)
        if revision and revision <= request.args.get("newer_than", 0, type=int):
            return werkzeug.Response(status=304)
        # The revision was read before the items, so that a change in between is sent
        # again with the next call.
        items = self.platform.list(prefix)
        return self._build_json_response({"items": items, "revision": revision})

    def _put_value(self, request: werkzeug.Request, key: str) -> werkzeug.Response:
        body = request.get_json()
        status, answer = self.platform.put(
            key, body["value"], body["expected_revision"], body.get("lease", "")
        )
        return self._build_json_response(answer, status)

    def _delete_value(self, request: werkzeug.Request, key: str) -> werkzeug.Response:
        expected = request.args.get("expected_revision", 0, type=int)
        status, answer = self.platform.delete(key, expected)
        return self._build_json_response(answer, status)

    def _grant_lease(self, request: werkzeug.Request) -> werkzeug.Response:
        return self._build_json_response(
            {"lease": self.platform.grant_lease(request.json["ttl_ms"])}
        )

    def _renew_lease(self, request: werkzeug.Request, lease: str) -> werkzeug.Response:
        return self._build_json_response(
            {}, 200 if self.platform.renew_lease(lease) else 404
        )

    def _revoke_lease(self, request: werkzeug.Request, lease: str) -> werkzeug.Response:
        self.platform.revoke_lease(lease)
        return self._build_json_response({})

    def _list_instances(self, request: werkzeug.Request) -> werkzeug.Response:
        instance_list = self.platform.instance_list()
        newer_than = request.args.get("newer_than", 0, type=int)
        if instance_list["revision"] and instance_list["revision"] == newer_than:
            return self._build_json_response(
                {"revision": newer_than, "age_ms": instance_list["age_ms"]}
            )
        for row in instance_list["instances"]:
            zone_address = row.pop("addresses", {}).get(
                request.environ.get(VIEWING_ZONE_KEY)
            )
            row["address"] = zone_address or row["address"]
        return self._build_json_response(instance_list)

    def _set_instance(self, request: werkzeug.Request, name: str) -> werkzeug.Response:
        self.platform.set_instance(name, request.json)
        return self._build_json_response({})

    def _remove_instance(
        self, request: werkzeug.Request, name: str
    ) -> werkzeug.Response:
        self.platform.remove_instance(name)
        return self._build_json_response({})

    def _control_instance(
        self, request: werkzeug.Request, name: str, action: str
    ) -> werkzeug.Response:
        row = self.platform.instances_by_id.get(name)
        if row is None:
            raise NotFound()
        if not self.platform.accept_fence(name, int(request.headers.get("Fence", 0))):
            return self._build_json_response({}, 409)
        self._send_worker_action(row["address"], action)
        return self._build_json_response({})

    def _set_faults(self, request: werkzeug.Request) -> werkzeug.Response:
        self.platform.faults = PlatformFaults(**request.json)
        with self.platform.changed:
            self.platform.changed.notify_all()
        return self._build_json_response({})

    def _get_counters(self, request: werkzeug.Request) -> werkzeug.Response:
        return self._build_json_response(self.platform.count_by_call)
