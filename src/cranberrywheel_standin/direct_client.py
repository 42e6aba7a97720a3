"""Store client that calls the platform stand-in in the same process."""

import dataclasses
import typing as t

from cranberrywheel.connection.store_client import Instance, InstanceList, Record
from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from cranberrywheel_standin.platform import Platform


class DirectStoreClient:
    """Calls the platform stand-in without a network; has faults to set.

    :param platform: the stand-in's state.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        #: No call is answered.
        self.down = False
        #: Number of writes that take effect without an answer.
        self.unanswered_writes = 0
        #: Writes get no answer and wait in ``delayed``, as if held up in the
        #: network; call an item to deliver it.
        self.delay_writes = False
        self.delayed_writes: list[t.Callable[[], t.Any]] = []

    def check(self) -> None:
        """Called by each call first; fails while the store is down."""
        if self.down:
            raise StoreUnavailableError("The store is down.", "Wait.")

    def close(self) -> None:
        pass

    def get(
        self, key: str, newer_than: int = 0, wait_ms: int = 0
    ) -> Record | None | t.Literal["unchanged"]:
        self.check()
        entry = self.platform.get(key)
        if entry is None:
            return None
        if newer_than and entry.revision <= newer_than:
            return "unchanged"
        return Record(key, entry.value, entry.revision)

    def list(self, prefix: str) -> list[Record]:
        self.check()
        rows = self.platform.list(prefix)
        return [Record(r["key"], r["value"], r["revision"]) for r in rows]

    def put(self, key: str, value: str, expected_revision: int, lease: str = "") -> int:
        self.check()
        send = lambda: self.platform.put(key, value, expected_revision, lease)
        if self.delay_writes:
            self.delayed_writes.append(send)
            raise StoreUnavailableError("The write got no answer.", "Read it back.")
        status, answer = send()
        if self.unanswered_writes > 0:
            self.unanswered_writes -= 1
            raise StoreUnavailableError("The write got no answer.", "Read it back.")
        if status == 412:
            raise StoreConflictError(
                f"{key} has another revision.", "Read it.", answer["revision"]
            )
        if status == 404:
            raise LeaseLostError("The lease has lapsed.", "Grant one.")
        return answer["revision"]

    def grant_lease(self, ttl_ms: int) -> str:
        self.check()
        return self.platform.grant_lease(ttl_ms)

    def renew_lease(self, lease: str) -> None:
        self.check()
        if not self.platform.renew_lease(lease):
            raise LeaseLostError("The lease has lapsed.", "Grant one.")

    def revoke_lease(self, lease: str) -> None:
        self.check()
        self.platform.revoke_lease(lease)

    def instances(self) -> InstanceList:
        self.check()
        listed = self.platform.instance_list()
        names = {f.name for f in dataclasses.fields(Instance)}
        rows = tuple(
            Instance(
                instance_id=r["id"],
                leaving=r["state"] == "leaving",
                **{k: v for k, v in r.items() if k in names},
            )
            for r in listed["instances"]
        )
        return InstanceList(listed["revision"], listed["age_ms"], rows)
