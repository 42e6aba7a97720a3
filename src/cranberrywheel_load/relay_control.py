"""Starts and commands the relay process of a local deployment."""

import json
import pathlib
import socket
import typing as t

from cranberrywheel_load.processes import (
    HOST,
    ManagedProcess,
    WaitTimeoutError,
    find_free_ports,
    wait_until,
)

READ_BYTES = 65_536


class RelayControl:
    """Relays of one deployment, and the connection that commands them.

    :param folder: where the relay's log goes.
    :param timeout_s: longest wait for its start.
    """

    def __init__(self, folder: pathlib.Path, timeout_s: float) -> None:
        (port,) = find_free_ports(1)
        arguments = ["cranberrywheel_load.relay", str(port)]
        self.process = ManagedProcess("relay", arguments, folder)
        self.process.start()

        def connect() -> socket.socket | None:
            try:
                return socket.create_connection((HOST, port), timeout=timeout_s)
            except OSError:
                return None

        try:
            self._connection = wait_until(connect, timeout_s, "relay listens")
        except WaitTimeoutError:
            self.process.kill()
            raise

    def close(self) -> None:
        """End the relay process by closing its control connection."""
        self._connection.close()

    def _send_command(self, command: dict[str, t.Any]) -> dict[str, t.Any]:
        self._connection.sendall(json.dumps(command).encode() + b"\n")
        answer = b""
        while not answer.endswith(b"\n"):
            data = self._connection.recv(READ_BYTES)
            if not data:
                raise RuntimeError("the relay process has ended")
            answer += data
        return dict(json.loads(answer))

    def get_relayed_bytes(self) -> dict[int, int]:
        """Return the payload bytes that relays have passed on, by target port."""
        answer = self._send_command({"report": True})
        return {int(port): n for port, n in answer["bytes_by_target"].items()}

    def add(self, port: int, zone: str, source_zone: str) -> int:
        """Start a relay to a port; returns the relay's port.

        :param zone: zone of the target.
        :param asking: zone of all callers, or ``""`` to look each one up.
        """
        (relay_port,) = find_free_ports(1)
        self._send_command({"listen": [relay_port, port, zone, source_zone]})
        return relay_port

    def set_cut(self, pairs: t.Iterable[tuple[str, str]]) -> None:
        """Replace the pairs of zones between which nothing passes."""
        self._send_command({"cut": [list(pair) for pair in pairs]})

    def set_zones_by_pid(self, zones_by_pid: t.Mapping[int, str]) -> None:
        """Tell the relay the zone of each process."""
        self._send_command({"owners": dict(zones_by_pid)})
