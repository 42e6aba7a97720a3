"""TCP relays that can partition availability zones.

Other processes connect to a target only through its relays. A relay either serves
callers of a single zone, or determines a caller's zone from the process that owns the
connection, which it looks up in the kernel's socket table. While a pair of zones is
partitioned, bytes between them are held back as in a network that loses all packets:
connections neither fail nor progress until the partition ends.

The program reads one JSON command per line from its control connection and answers
each with one line: ``{"listen": [port, target port, zone, source zone or ""]}``,
``{"owners": {pid: zone}}``, ``{"cut": [[zone, zone], ...]}`` and
``{"report": true}``, which returns the forwarded bytes by target port.
"""

import asyncio
import collections
import json
import os
import sys
import typing as t

HOST = "127.0.0.1"
READ_BYTES = 65_536
#: Lookups are repeated, because a socket may appear in the kernel's table only after
#: the connection was accepted.
MAX_OWNER_LOOKUPS = 20
OWNER_LOOKUP_INTERVAL_S = 0.01


def find_socket_inode(table: str, local_port: int, remote_port: int) -> str:
    """Return the inode of a connection, or ``""`` if it is not listed.

    :param table: content of ``/proc/net/tcp``.
    """
    for line in table.splitlines()[1:]:
        fields = line.split()
        ports = [int(fields[i].rpartition(":")[2], 16) for i in (1, 2)]
        if ports == [local_port, remote_port]:
            return fields[9]
    return ""


def owns_socket(pid: int, inode: str) -> bool:
    """Return whether a process has the socket with this inode open."""
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False


class Relays:
    """The relays of this process and the partitions between their zones."""

    def __init__(self) -> None:
        self.zones_by_pid: dict[int, str] = {}
        self._cut_pairs: frozenset[frozenset[str]] = frozenset()
        self._cut_changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        #: Forwarded payload bytes of both directions by target port.
        self.bytes_by_target: collections.Counter[int] = collections.Counter()

    async def listen(
        self, port: int, target_port: int, zone: str, source_zone: str
    ) -> None:
        """Start a relay from a port to a target.

        :param zone: zone of the target.
        :param source_zone: zone of all callers, or ``""`` to look up each one's zone.
        """

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                client_port = writer.get_extra_info("peername")[1]
                source = source_zone or await self._find_source_zone(client_port, port)
                await self._relay(reader, writer, source, target_port, zone)
            except OSError:
                pass
            finally:
                writer.close()

        self._servers.append(await asyncio.start_server(accept, HOST, port))

    def set_cut(self, pairs: t.Iterable[t.Sequence[str]]) -> None:
        """Replace the pairs of zones that are partitioned from each other."""
        self._cut_pairs = frozenset(frozenset(pair) for pair in pairs)
        self._cut_changed.set()
        self._cut_changed = asyncio.Event()

    async def _wait_until_passable(self, source: str, zone: str) -> None:
        while source != zone and frozenset((source, zone)) in self._cut_pairs:
            await self._cut_changed.wait()

    async def _find_source_zone(self, client_port: int, port: int) -> str:
        for _ in range(MAX_OWNER_LOOKUPS):
            with open("/proc/net/tcp", encoding="ascii") as file:
                inode = find_socket_inode(file.read(), client_port, port)
            for pid, zone in self.zones_by_pid.items():
                if inode and owns_socket(pid, inode):
                    return zone
            await asyncio.sleep(OWNER_LOOKUP_INTERVAL_S)
        return ""

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target_port: int,
        zone: str,
    ) -> None:
        await self._wait_until_passable(source, zone)
        target_reader, target_writer = await asyncio.open_connection(HOST, target_port)
        try:
            await asyncio.gather(
                self._copy_bytes(reader, target_writer, source, zone, target_port),
                self._copy_bytes(target_reader, writer, source, zone, target_port),
            )
        finally:
            target_writer.close()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        zone: str,
        target_port: int,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._wait_until_passable(source, zone)
            self.bytes_by_target[target_port] += len(data)
            writer.write(data)
            await writer.drain()
        await self._wait_until_passable(source, zone)
        # Both directions can be closed, since HTTP and gRPC use no half-closed sockets.
        writer.close()

    async def execute_command(self, command: dict[str, t.Any]) -> dict[str, t.Any]:
        """Execute one control command and return its answer."""
        if "listen" in command:
            await self.listen(*command["listen"])
        if "owners" in command:
            self.zones_by_pid = {int(p): z for p, z in command["owners"].items()}
        if "cut" in command:
            self.set_cut(command["cut"])
        if "report" in command:
            return {"bytes_by_target": dict(self.bytes_by_target)}
        return {}


async def _serve(control_port: int) -> None:
    relays = Relays()
    control_closed = asyncio.Event()

    async def handle_commands(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            answer = await relays.execute_command(json.loads(line))
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        control_closed.set()

    async with await asyncio.start_server(handle_commands, HOST, control_port):
        # The relays exit when the control connection closes, as it also does when the
        # load tool exits.
        await control_closed.wait()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1])))
