"""Store client that calls a platform stand-in in the same process."""

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
    """Calls the platform stand-in without a network and injects faults.

    :param platform: state of the stand-in.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        #: Whether all calls fail.
        self.down = False
        #: Number of coming writes that take effect but get no answer.
        self.unanswered_writes = 0
        #: Whether writes get no answer and are kept in ``delayed_writes``, as if they
        #: were still in the network; calling an item delivers it.
        self.delay_writes = False
        self.delayed_writes: list[t.Callable[[], t.Any]] = []

    def raise_if_down(self) -> None:
        """Raise an error while the store is down; every call begins with this."""
        if self.down:
            raise StoreUnavailableError("The store is down.", "Retry when it is back.")

    def close(self) -> None:
        pass

    def get(
        self, key: str, newer_than: int = 0, wait_ms: int = 0
    ) -> Record | None | t.Literal["unchanged"]:
        self.raise_if_down()
        entry = self.platform.get(key)
        if entry is None:
            return None
        if newer_than and entry.revision <= newer_than:
            return "unchanged"
        return Record(key, entry.value, entry.revision)

    def list(self, prefix: str) -> list[Record]:
        self.raise_if_down()
        rows = self.platform.list(prefix)
        return [Record(row["key"], row["value"], row["revision"]) for row in rows]

    def put(self, key: str, value: str, expected_revision: int, lease: str = "") -> int:
        self.raise_if_down()
        send_write = lambda: self.platform.put(key, value, expected_revision, lease)
        if self.delay_writes:
            self.delayed_writes.append(send_write)
            raise StoreUnavailableError(
                "The write got no answer.",
                "Read the key to see whether it took effect.",
            )
        status, answer = send_write()
        if self.unanswered_writes > 0:
            self.unanswered_writes -= 1
            raise StoreUnavailableError(
                "The write got no answer.",
                "Read the key to see whether it took effect.",
            )
        if status == 412:
            raise StoreConflictError(
                f"{key} has another revision.", "Read it again.", answer["revision"]
            )
        if status == 404:
            raise LeaseLostError("The lease has expired.", "Request a new lease.")
        return answer["revision"]

    def grant_lease(self, ttl_ms: int) -> str:
        self.raise_if_down()
        return self.platform.grant_lease(ttl_ms)

    def renew_lease(self, lease: str) -> None:
        self.raise_if_down()
        if not self.platform.renew_lease(lease):
            raise LeaseLostError("The lease has expired.", "Request a new lease.")

    def revoke_lease(self, lease: str) -> None:
        self.raise_if_down()
        self.platform.revoke_lease(lease)

    def instances(self) -> InstanceList:
        self.raise_if_down()
        listed = self.platform.instance_list()
        field_names = {field.name for field in dataclasses.fields(Instance)}
        rows = tuple(
            Instance(
                instance_id=row["id"],
                leaving=row["state"] == "leaving",
                **{name: value for name, value in row.items() if name in field_names},
            )
            for row in listed["instances"]
        )
        return InstanceList(listed["revision"], listed["age_ms"], rows)
