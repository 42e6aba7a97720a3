"""Registered entry processes, and the time of the last report from each."""

import dataclasses
import ipaddress
import json
import secrets
import typing as t

import pydantic

from cranberrywheel.connection.store_client import InstanceList, Record
from cranberrywheel.errors import StoreError
from cranberrywheel.process.limit_record import LimitRecord
from cranberrywheel.process.quota_units import Absence
from cranberrywheel.settings import EntrySettings

ENTRIES_PREFIX = "entries/"
#: Instance, availability zone and peer address of a process.
Location = tuple[str, str, str]


def new_process_id(settings: EntrySettings) -> str:
    """Create a process id, which is different at each start.

    :returns: ``<zone>.<instance>.<random>``.
    """
    return f"{settings.zone}.{settings.instance}.{secrets.token_hex(4)}"


def is_address(text: str) -> bool:
    """Tell whether a text has the form ``<IP number>:<port>``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65_536


class _RegistrationBody(pydantic.BaseModel):
    process_id: str
    instance: str
    zone: str
    http_address: str
    peer_address: str


@dataclasses.dataclass(frozen=True)
class Registration:
    """Entry process as registered under ``entries/<process id>``.

    :param revision: store revision of the registration; 0 if it is known only from
        the process's own message.
    """

    process_id: str
    instance: str
    zone: str
    http_address: str
    peer_address: str
    revision: int = 0

    @property
    def location(self) -> Location:
        """Instance, zone and peer address; only one process can be alive there."""
        return self.instance, self.zone, self.peer_address

    def supersedes(self, other: "Registration", answered_later: bool = False) -> bool:
        """Tell whether this process proves that another one has ended.

        This process listens on the other one's address, so the other one cannot.

        :param answered_later: whether this process answered after the other one was
            seen in the roster.
        """
        return (
            self.process_id != other.process_id
            and (answered_later or self.revision > other.revision)
            and self.location == other.location
        )


def group_by_location(
    registrations: t.Iterable[Registration],
) -> dict[Location, list[Registration]]:
    """Group registrations by the location of their process."""
    groups: dict[Location, list[Registration]] = {}
    for registration in registrations:
        groups.setdefault(registration.location, []).append(registration)
    return groups


def build_own_registration(settings: EntrySettings, process_id: str) -> Registration:
    """Build the registration of this process."""
    host = f"[{settings.host}]" if ":" in settings.host else settings.host
    return Registration(
        process_id=process_id,
        instance=settings.instance,
        zone=settings.zone,
        http_address=f"{host}:{settings.http_port}",
        peer_address=f"{host}:{settings.advertised_peer_port or settings.peer_port}",
    )


def dump_registration(registration: Registration) -> str:
    """Return the JSON text of a registration."""
    fields = dataclasses.asdict(registration)
    del fields["revision"]
    return json.dumps(fields)


def parse_registration(record: Record) -> Registration:
    """Parse a registration.

    :raises StoreError: if it is malformed.
    """
    try:
        body = _RegistrationBody.model_validate_json(record.value)
    except pydantic.ValidationError:
        raise StoreError(
            f"Registration {record.key} is malformed.",
            "Delete the key; the process registers again if it is alive.",
        ) from None
    return Registration(revision=record.revision, **body.model_dump())


class Membership:
    """Roster of entry processes, with the time of the newest report from each.

    A report counts only once this process has adopted its content; see
    :class:`cranberrywheel.process.exchange.PeerExchange`.

    :param process_id: id of this process.
    """

    def __init__(self, process_id: str) -> None:
        self._process_id = process_id
        self._roster_by_id: dict[str, Registration] | None = None
        self._discovered_by_id: dict[str, Registration] = {}
        # Discovered processes that answered a call to their address.
        self._responding_ids: set[str] = set()
        self._last_report_ms_by_id: dict[str, int] = {}
        self._list_revision = 0
        self._listed_instances: set[str] = set()
        self._removed_instances: set[str] = set()

    def set_roster(self, registrations: list[Registration]) -> None:
        """Replace the roster by the entries read from the store.

        Unregistered processes are forgotten until they send the next message.
        """
        roster = {
            registration.process_id: registration for registration in registrations
        }
        self._roster_by_id = roster
        self._last_report_ms_by_id = {
            process_id: at_ms
            for process_id, at_ms in self._last_report_ms_by_id.items()
            if process_id in roster
        }
        self._discovered_by_id.clear()
        self._responding_ids.clear()

    def add_discovered(self, registration: Registration, answered: bool) -> None:
        """Add a process that sent a message but is not in the roster.

        :param answered: whether it answered a call to its address; then no other
            process listens there.
        """
        process_id = registration.process_id
        if process_id != self._process_id and process_id not in (
            self._roster_by_id or ()
        ):
            self._discovered_by_id[process_id] = registration
            if answered:
                self._responding_ids.add(process_id)

    def set_instances(self, listed: InstanceList) -> None:
        """Use a new instance list.

        Only an instance that was listed before counts as removed, because a new
        instance may be missing from an outdated list.
        """
        if listed.revision < self._list_revision:
            return
        self._list_revision = listed.revision
        present = {row.instance_id for row in listed.instances}
        self._listed_instances |= present
        self._removed_instances = self._listed_instances - present

    def record_report(self, process_id: str, at_ms: int) -> None:
        """Record that everything a process knew at some time is known here.

        :param at_ms: own clock reading, not later than the sending of the report.
        """
        if at_ms > self._last_report_ms_by_id.get(process_id, -1):
            self._last_report_ms_by_id[process_id] = at_ms

    def last_report_ms_by_id(self) -> dict[str, int]:
        """Return the time of the newest report from each process."""
        return dict(self._last_report_ms_by_id)

    def peers(self) -> list[Registration]:
        """Return all other processes that may be alive."""
        known = {**self._discovered_by_id, **(self._roster_by_id or {})}
        known.pop(self._process_id, None)
        groups = group_by_location(known.values())
        return [
            registration
            for registration in known.values()
            if not self._has_ended(registration, groups[registration.location])
        ]

    def _has_ended(
        self, registration: Registration, same_location: list[Registration]
    ) -> bool:
        if registration.instance in self._removed_instances:
            return True
        return any(
            other.supersedes(registration, other.process_id in self._responding_ids)
            for other in same_location
        )

    def known_until_ms(self) -> int | None:
        """Return the time up to which everything that other entries knew is known here.

        :returns: own clock reading, or ``None`` if the roster is not known or there
            is no report from a registered entry that may be alive.
        """
        if not self._roster_by_id or self._process_id not in self._roster_by_id:
            return None
        times = [
            self._last_report_ms_by_id.get(registration.process_id)
            for registration in self.peers()
        ]
        # A roster without peers proves nothing about entries that registered
        # while this process could not read the store.
        if not times or None in times:
            return None
        return min(time for time in times if time is not None)


class MissingHolders:
    """Tracks since when holders of quota units are unregistered or replaced."""

    def __init__(self) -> None:
        # The registration is part of the key, so that a holder that registered again
        # and disappeared again starts a new absence.
        self._absences: dict[tuple[str, int], Absence] = {}

    def observe(
        self,
        records: list[LimitRecord],
        registrations: list[Registration],
        now_ms: int,
    ) -> None:
        """Update the absences of all holders.

        :param records: limit records.
        :param registrations: read after the limit records.
        :param now_ms: own clock reading.
        """
        registered = {registration.process_id for registration in registrations}
        newest_by_location = {
            location: max(group, key=lambda registration: registration.revision)
            for location, group in group_by_location(registrations).items()
        }
        absences: dict[tuple[str, int], Absence] = {}
        for record in records:
            for holder, row in record.holders.items():
                key = (holder, row.registration)
                before = self._absences.get(key, Absence(None))
                missing_ms, replaced_ms = None, before.replaced_ms
                if holder not in registered:
                    missing_ms = before.missing_ms
                    missing_ms = now_ms if missing_ms is None else missing_ms
                newest_at_location = newest_by_location.get(
                    (row.instance, row.zone, row.address)
                )
                if (
                    newest_at_location
                    and newest_at_location.process_id != holder
                    and replaced_ms is None
                ):
                    if newest_at_location.revision > row.registration:
                        replaced_ms = now_ms
                if missing_ms is not None or replaced_ms is not None:
                    absences[key] = Absence(missing_ms, replaced_ms)
        self._absences = absences

    def get(self, holder: str, registration: int) -> Absence | None:
        """Return since when a holder is absent, or ``None`` if it is not."""
        return self._absences.get((holder, registration))
