"""Registration of this process, and its view of the other processes."""

import json

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import MEMBER_PREFIX
from cranberrywheel.node.leadership import Candidate
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write

#: Time to live of the lease of a member record, and its renewal interval. Until it
#: expires, the record of a stopped member only names an address that does not answer.
MEMBER_LEASE_MS = 5_000
MEMBER_RENEW_MS = 1_500
#: Delay before a failed store call is repeated.
RETRY_MS = 250

_log = ComponentLogger("node")


class Membership:
    """Member records in the store. All methods run on the loop's thread.

    :param candidate: this process as a candidate for the leadership.
    :ivar is_registered: the record of this process is stored.
    """

    def __init__(self, loop: HttpLoop, store: Store, candidate: Candidate) -> None:
        self._loop = loop
        self._store = store
        self._candidate = candidate
        self._process_name = candidate.process
        self._stopped = False
        self.is_registered = False
        self._member_lease = 0
        self._member_by_process: dict[str, Candidate] = {}
        self._watch = PrefixWatch(loop, store, MEMBER_PREFIX, self._on_member)

    def start(self) -> None:
        """Watch the members and register this process."""
        self._watch.start()
        self.register()

    def stop(self) -> None:
        """Delete the record of this process, so that it gets no precedence."""
        self._stopped = True
        if self._member_lease:
            self._store.end_lease(self._member_lease, lambda reply: None)

    def register(self) -> None:
        """Store the record of this process and keep its lease."""
        if self._stopped:
            return

        def on_lease(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                self._loop.after(RETRY_MS, self.register)
                return
            self._member_lease = reply.lease
            value = json.dumps(
                {
                    "address": self._candidate.address,
                    "capacity": self._candidate.capacity,
                }
            ).encode()
            put = (MEMBER_PREFIX + self._process_name, value, reply.lease)
            self._store.write(Write(puts=(put,)), on_written)

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                self._loop.after(RETRY_MS, self.register)
                return
            self.is_registered = True
            self._loop.after(MEMBER_RENEW_MS, self._renew_member)

        self._store.grant_lease(MEMBER_LEASE_MS, on_lease)

    def _renew_member(self) -> None:
        if self._stopped:
            return

        def on_reply(reply: StoreReply) -> None:
            if reply.outcome is Outcome.ABSENT:
                self.register()
            else:
                self._loop.after(MEMBER_RENEW_MS, self._renew_member)

        self._store.renew_lease(self._member_lease, on_reply)

    def _on_member(self, item: Item) -> None:
        process = item.key[len(MEMBER_PREFIX) :]
        if item.value is None:
            self._member_by_process.pop(process, None)
            return
        try:
            row = decode_object(item.value)
            capacity = float(row["capacity"])
            if not 0 <= capacity <= 1:
                # Every leader would hand over to such a member, again and again.
                raise ValueError(f"expected a capacity from 0 to 1, not {capacity}")
            member = Candidate(process, str(row["address"]), capacity)
        except FIELD_ERRORS as error:
            _log.warning(
                "member record cannot be decoded; ignored",
                member=process,
                error=repr(error)[:200],
            )
            return
        self._member_by_process[process] = member

    def _other_members(self) -> list[Candidate]:
        return [
            member
            for member in self._member_by_process.values()
            if member.address != self._candidate.address
        ]

    def peer_capacities(self) -> dict[str, float]:
        """Return the capacities of the other processes by address."""
        return {member.address: member.capacity for member in self._other_members()}

    def largest_capacity(self) -> float:
        """Return the capacity of the largest other process; 0 if there is none."""
        return max((member.capacity for member in self._other_members()), default=0.0)
