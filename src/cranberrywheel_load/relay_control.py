"""Start and control of the relay process of a local deployment."""

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
    """The relay process of a deployment and its control connection.

    :param folder: folder of the relay's log file.
    :param timeout_s: timeout of its start.
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
            self._connection = wait_until(connect, timeout_s, "relay is listening")
        except WaitTimeoutError:
            self.process.kill()
            raise

    def close(self) -> None:
        """Close the control connection, on which the relay process exits."""
        self._connection.close()

    def _send_command(self, command: dict[str, t.Any]) -> dict[str, t.Any]:
        self._connection.sendall(json.dumps(command).encode() + b"\n")
        answer = b""
        while not answer.endswith(b"\n"):
            data = self._connection.recv(READ_BYTES)
            if not data:
                raise RuntimeError("the relay process closed the control connection")
            answer += data
        return dict(json.loads(answer))

    def get_relayed_bytes(self) -> dict[int, int]:
        """Return the payload bytes that the relays have forwarded, by target port."""
        answer = self._send_command({"report": True})
        return {int(port): n for port, n in answer["bytes_by_target"].items()}

    def add(self, port: int, zone: str, source_zone: str) -> int:
        """Start a relay to a port.

        :param zone: zone of the target.
        :param source_zone: zone of all callers, or ``""`` to look up each one's zone.
        :returns: port of the relay.
        """
        (relay_port,) = find_free_ports(1)
        self._send_command({"listen": [relay_port, port, zone, source_zone]})
        return relay_port

    def set_cut(self, pairs: t.Iterable[tuple[str, str]]) -> None:
        """Replace the pairs of zones that are partitioned from each other."""
        self._send_command({"cut": [list(pair) for pair in pairs]})

    def set_zones_by_pid(self, zones_by_pid: t.Mapping[int, str]) -> None:
        """Set the zones by process id from which the relay derives callers' zones."""
        self._send_command({"owners": dict(zones_by_pid)})
