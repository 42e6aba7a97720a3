"""Which entry processes are registered, and when each was last heard."""

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
Location = tuple[str, str, str]


def new_process_id(settings: EntrySettings) -> str:
    """Create the id of one process start.

    :returns: ``<zone>.<instance>.<random>``.
    """
    return f"{settings.zone}.{settings.instance}.{secrets.token_hex(4)}"


def is_address(text: str) -> bool:
    """Tell whether a text is ``<IP number>:<port>``."""
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
    """One entry process as registered under ``entries/<process id>``.

    :param revision: store revision of the registration; 0 if it was learned
        from a peer instead of the store.
    """

    process_id: str
    instance: str
    zone: str
    http_address: str
    peer_address: str
    revision: int = 0

    @property
    def place(self) -> Location:
        """Instance, zone and address; only one process can be there."""
        return self.instance, self.zone, self.peer_address

    def replaces(self, other: "Registration", answers_now: bool = False) -> bool:
        """Tell whether this process proves that another one is dead.

        It listens on the address of the other, which therefore cannot.

        :param answers_now: it answered after the other was seen registered.
        """
        return (
            self.process_id != other.process_id
            and (answers_now or self.revision > other.revision)
            and self.place == other.place
        )


def group_by_location(
    registrations: t.Iterable[Registration],
) -> dict[Location, list[Registration]]:
    """Group registrations by the place of their process."""
    groups: dict[Location, list[Registration]] = {}
    for registration in registrations:
        groups.setdefault(registration.place, []).append(registration)
    return groups


def own_registration(settings: EntrySettings, process_id: str) -> Registration:
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
    """Read a registration.

    :raises StoreError: if it is malformed.
    """
    try:
        body = _RegistrationBody.model_validate_json(record.value)
    except pydantic.ValidationError:
        raise StoreError(
            f"Registration {record.key} is malformed.", "Delete the key."
        ) from None
    return Registration(revision=record.revision, **body.model_dump())


class Membership:
    """Roster of entries with the time of the newest message known of each.

    A message counts only once its content is adopted here; see
    :class:`cranberrywheel.process.exchange.PeerExchange`.

    :param process_id: id of this process.
    """

    def __init__(self, process_id: str) -> None:
        self._process_id = process_id
        self._roster_by_id: dict[str, Registration] | None = None
        self._learned_by_id: dict[str, Registration] = {}
        # Learned processes that answered a call to their address.
        self._answering_ids: set[str] = set()
        self._heard_ms_by_id: dict[str, int] = {}
        self._list_revision = 0
        self._listed_instances: set[str] = set()
        self._gone_instances: set[str] = set()

    def set_roster(self, registrations: list[Registration]) -> None:
        """Take the registered entries from the store.

        Processes that are not registered are learned again when they next send.
        """
        roster = {r.process_id: r for r in registrations}
        self._roster_by_id = roster
        self._heard_ms_by_id = {
            i: at_ms for i, at_ms in self._heard_ms_by_id.items() if i in roster
        }
        self._learned_by_id.clear()
        self._answering_ids.clear()

    def learn(self, registration: Registration, answered: bool) -> None:
        """Note a process that sent a message but is not in the roster.

        :param answered: it answered a call to its address, so no other process
            listens there.
        """
        process_id = registration.process_id
        if process_id != self._process_id and process_id not in (
            self._roster_by_id or ()
        ):
            self._learned_by_id[process_id] = registration
            if answered:
                self._answering_ids.add(process_id)

    def set_instances(self, listed: InstanceList) -> None:
        """Take the instance list.

        Only an instance that was listed before can be gone: a new one may be
        absent because the list lags.
        """
        if listed.revision < self._list_revision:
            return
        self._list_revision = listed.revision
        present = {row.instance_id for row in listed.instances}
        self._listed_instances |= present
        self._gone_instances = self._listed_instances - present

    def heard(self, process_id: str, at_ms: int) -> None:
        """Note that everything a process knew at a time is known here.

        :param at_ms: own clock reading, not later than when it was sent.
        """
        if at_ms > self._heard_ms_by_id.get(process_id, -1):
            self._heard_ms_by_id[process_id] = at_ms

    def last_report_ms_by_id(self) -> dict[str, int]:
        """Return the time of the newest message of each process."""
        return dict(self._heard_ms_by_id)

    def peers(self) -> list[Registration]:
        """Return all other processes that may be alive."""
        known = {**self._learned_by_id, **(self._roster_by_id or {})}
        known.pop(self._process_id, None)
        groups = group_by_location(known.values())
        return [r for r in known.values() if not self._is_gone(r, groups[r.place])]

    def _is_gone(
        self, registration: Registration, same_place: list[Registration]
    ) -> bool:
        if registration.instance in self._gone_instances:
            return True
        return any(
            other.replaces(registration, other.process_id in self._answering_ids)
            for other in same_place
        )

    def known_until_ms(self) -> int | None:
        """Return up to when the knowledge of all registered entries is here.

        :returns: own clock reading, or ``None`` if the roster is not known or a
            registered entry that is not gone was never heard.
        """
        if not self._roster_by_id or self._process_id not in self._roster_by_id:
            return None
        times = [self._heard_ms_by_id.get(r.process_id) for r in self.peers()]
        # A roster without peers proves nothing about entries that registered
        # while this process could not read the store.
        if not times or None in times:
            return None
        return min(time for time in times if time is not None)


class MissingHolders:
    """Tracks since when holders of units are unregistered or replaced."""

    def __init__(self) -> None:
        # The registration is part of the key: a holder that came back and was
        # lost again starts a new absence.
        self._absences: dict[tuple[str, int], Absence] = {}

    def observe(
        self,
        records: list[LimitRecord],
        registrations: list[Registration],
        now_ms: int,
    ) -> None:
        """Compare holders with the registrations, which were read afterwards."""
        registered = {r.process_id for r in registrations}
        newest = {
            place: max(group, key=lambda r: r.revision)
            for place, group in group_by_location(registrations).items()
        }
        seen: dict[tuple[str, int], Absence] = {}
        for record in records:
            for holder, row in record.holders.items():
                key = (holder, row.registration)
                before = self._absences.get(key, Absence(None))
                missing_ms, replaced_ms = None, before.replaced_ms
                if holder not in registered:
                    missing_ms = before.missing_ms
                    missing_ms = now_ms if missing_ms is None else missing_ms
                there = newest.get((row.instance, row.zone, row.address))
                if there and there.process_id != holder and replaced_ms is None:
                    if there.revision > row.registration:
                        replaced_ms = now_ms
                if missing_ms is not None or replaced_ms is not None:
                    seen[key] = Absence(missing_ms, replaced_ms)
        self._absences = seen

    def get(self, holder: str, registration: int) -> Absence | None:
        """Return since when a holder is gone, or ``None`` if it is not."""
        return self._absences.get((holder, registration))
