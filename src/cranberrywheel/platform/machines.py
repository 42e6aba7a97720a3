"""Machines: their list, moves between pools, maintenance, and maintenance waves."""

import dataclasses
import json
import typing as t
import urllib.parse

import pydantic

from cranberrywheel.configuration_check.entries import (
    FormatFault,
    ListedMachine,
    MachineList,
)
from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, MAX_INTEGER, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.platform.wire_model import Name, WireModel
from cranberrywheel.submission.machines import (
    Machine,
    MachineOrderVerdict,
    MachineState,
    Wave,
)
from cranberrywheel.submission.model import Resources
from cranberrywheel.validation import describe_fault, list_format_faults

#: Key prefix of the waves that operators request.
WAVE_PREFIX = "op/wave/"
#: Key prefix of the status of each wave, which operators read.
WAVE_STATUS_PREFIX = "status/wave/"
CALL_TIMEOUT_MS = 1_500
#: Longest time of a wave, a year; its milliseconds are finite as a float.
MAX_WAVE_S = 366 * 86_400
#: Largest number of pages of the list, against a token that repeats without end.
MAX_PAGES = 1_000

_log = ComponentLogger("machines")


class _Wave(WireModel):
    wave: int = pydantic.Field(ge=0, le=MAX_INTEGER)
    machines: list[Name]
    duration_s: float = pydantic.Field(alias="durationS", ge=0, le=MAX_WAVE_S)
    # Largest number of machines of this wave that may be down at the same time.
    at_once: int = pydantic.Field(1, alias="cap", le=MAX_INTEGER)


class _Machine(WireModel):
    machine: Name
    pool: Name
    state: str
    zone: Name = ""
    labels: list[str] = pydantic.Field(default_factory=list)
    id: str = ""


class _Page(WireModel):
    machines: list[t.Any]
    next_page: str | None = pydantic.Field(None, alias="nextPageToken")


class _Capacity(WireModel):
    cpu: int = pydantic.Field(0, ge=0)
    memory_mb: int = pydantic.Field(0, alias="memMb", ge=0)
    gpu: int = pydantic.Field(0, ge=0)


class _SizedMachine(_Machine):
    # The platform's list has no capacity. A file may add that of the machine's executor
    # in the form of the executor's entry.
    capacity: _Capacity | None = None


class _SizedPage(WireModel):
    machines: list[_SizedMachine]
    next_page: str | None = pydantic.Field(None, alias="nextPageToken")


class MachineListFormatError(ValueError):
    """Bytes that are no list of machines.

    :param faults: every fault found, in the order of the text.
    """

    def __init__(self, faults: tuple[FormatFault, ...]) -> None:
        super().__init__(f"{faults[0].place}: {faults[0].message}")
        self.faults = faults


def decode_machine_list(value: bytes) -> MachineList:
    """Decode an answer with the list of machines that was saved to a file.

    :raises MachineListFormatError: if the bytes are no list of machines.
    """
    try:
        page = _SizedPage.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise MachineListFormatError(list_format_faults(error)) from None

    def build(row: _SizedMachine) -> ListedMachine:
        size = row.capacity and Resources(
            row.capacity.cpu, row.capacity.memory_mb, row.capacity.gpu
        )
        return ListedMachine(row.pool, size)

    return MachineList(tuple(map(build, page.machines)), not page.next_page)


def decode_wave(value: bytes) -> Wave | None:
    """Decode a maintenance wave requested by operators; ``None`` if it is invalid."""
    try:
        wire = _Wave.model_validate_json(value)
    except pydantic.ValidationError as error:
        _log.warning("ignored an invalid maintenance wave", **describe_fault(error))
        return None
    return Wave(
        wire.wave,
        tuple(wire.machines),
        int(wire.duration_s * 1000),
        max(1, wire.at_once),
    )


def encode_wave_status(completed: bool) -> bytes:
    """Encode the status of a wave, which operators read."""
    return json.dumps({"state": "completed" if completed else "running"}).encode()


_STATE_BY_WIRE_NAME = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
_VERDICT_BY_REASON = {
    "fence": MachineOrderVerdict.FENCED,
    "busy": MachineOrderVerdict.BUSY,
    "wave": MachineOrderVerdict.OTHER_WAVE,
}


def _decode_verdict(body: bytes) -> MachineOrderVerdict:
    try:
        return _VERDICT_BY_REASON[str(decode_object(body)["reason"])]
    except FIELD_ERRORS:
        return MachineOrderVerdict.REFUSED


class MachineClient:
    """Client of the machine interface; each ``done`` runs on the loop's thread.

    :param address: ``host:port`` of the machine interface.
    :param holder: name under which this process sends orders.
    """

    def __init__(self, loop: HttpLoop, address: str, holder: str) -> None:
        self._loop = loop
        self._address = address
        self._holder = holder
        self._last_by_id: dict[str, Machine] = {}

    def _decode_machine(self, row: t.Any) -> Machine | None:
        """Decode a row of the list.

        A machine that was listed before stays listed, in a state that takes no orders,
        so that it does not count as removed; ``None`` for any other row that is odd.
        """
        try:
            wire = _Machine.model_validate(row)
        except pydantic.ValidationError as error:
            name = row.get("machine") if isinstance(row, dict) else None
            _log.warning(
                "row of the list of machines cannot be decoded",
                machine=repr(name)[:60],
                **describe_fault(error),
            )
            last = self._last_by_id.get(name) if isinstance(name, str) else None
            return last and dataclasses.replace(last, state=MachineState.OTHER)
        state = _STATE_BY_WIRE_NAME.get(wire.state, MachineState.OTHER)
        machine = Machine(wire.machine, wire.pool, state, wire.zone, wire.id)
        self._last_by_id[machine.id] = machine
        return machine

    def _build_request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: tuple[str, ...] = (),
    ) -> HttpRequest:
        # An order that a partition holds up must not arrive once another process may
        # lead. Reads share the connections of the orders.
        return HttpRequest(
            method,
            self._address,
            path,
            body,
            headers,
            CALL_TIMEOUT_MS,
            resets_connection=True,
            sent_once=method == "POST",
        )

    def read_all(self, done: t.Callable[[list[Machine] | None], None]) -> None:
        """Read all machines; ``done`` gets ``None`` if the answer is unusable."""
        machines: list[Machine] = []
        tokens: list[str] = []

        def read_page(token: str) -> None:
            tokens.append(token)
            path = "/api/machines"
            if token:
                path += f"?{urllib.parse.urlencode({'pageToken': token})}"
            request = self._build_request("GET", path)
            self._loop.call(request, on_page)

        def on_page(reply: HttpReply) -> None:
            try:
                page = _Page.model_validate_json(reply.body)
            except pydantic.ValidationError:
                _log.warning(
                    "no usable answer with the list of machines", status=reply.status
                )
                done(None)
                return
            machines.extend(filter(None, map(self._decode_machine, page.machines)))
            if not page.next_page:
                done(machines)
            elif len(tokens) < MAX_PAGES:
                read_page(page.next_page)
            else:
                _log.warning("the list of machines has too many pages")
                done(None)

        read_page("")

    def _order(
        self,
        path: str,
        body: dict[str, t.Any],
        fence: int,
        done: t.Callable[[MachineOrderVerdict], None],
    ) -> None:
        def decode(reply: HttpReply) -> None:
            if reply.status == 200:
                done(MachineOrderVerdict.OK)
            elif reply.status == 409:
                done(_decode_verdict(reply.body))
            elif reply.status or not reply.sent:
                done(MachineOrderVerdict.REFUSED)
            else:
                done(MachineOrderVerdict.UNKNOWN)

        headers = (
            f"Cranberrywheel-Duty-Holder: {self._holder}",
            f"Cranberrywheel-Fencing-Token: {fence}",
        )
        data = json.dumps(body).encode()
        self._loop.call(self._build_request("POST", path, data, headers), decode)

    def begin_maintenance(
        self,
        machine: str,
        wave: int,
        fence: int,
        done: t.Callable[[MachineOrderVerdict], None],
    ) -> None:
        """Order the maintenance of a machine, which takes it down."""
        body = {"machine": machine, "wave": wave}
        self._order("/api/machine-upkeep", body, fence, done)

    def move(
        self,
        machine: str,
        pool: str,
        fence: int,
        done: t.Callable[[MachineOrderVerdict], None],
    ) -> None:
        """Order the move of a machine to another pool."""
        body = {"machine": machine, "pool": pool}
        self._order("/api/machine-move", body, fence, done)
