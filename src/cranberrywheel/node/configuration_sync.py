"""Keeps the newest configuration in force, with the help of the other processes.

Load pattern: the watches of one process, or of all, stay silent for a second or more
while a configuration is written, and a large configuration takes most of a second over
the link of a small instance. A process that learns of a version therefore announces it
to a few peers, which read it at once if their watch does not deliver it.
"""

import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.watch import WATCH_WAIT_MS, PrefixWatch
from cranberrywheel.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item
from cranberrywheel.submission.model import Configuration

#: Path on which peers are told the newest version that a process has in force.
ANNOUNCEMENT_PATH = "/peer/configuration-version"
#: Path on which peers read the configuration in force.
CONFIGURATION_PATH = "/peer/configuration"
#: Interval between checks whether an announced version has arrived. The watches of all
#: processes usually deliver it at the same time as the announcement.
CHECK_INTERVAL_MS = 100
#: Time without data after which an announced version is requested again.
STALLED_MS = 400
#: Shortest time for which the store holds the watch open. The times vary, so that the
#: watches of different processes do not all time out together.
SHORTEST_WATCH_WAIT_MS = WATCH_WAIT_MS // 2
#: Timeout of an announcement, and time until a peer begins to send its configuration.
PEER_TIMEOUT_MS = 400
#: Longest pause in the configuration that a peer sends.
PEER_PROGRESS_TIMEOUT_MS = 1_200

_log = ComponentLogger("configuration")


def select_announcement_targets(
    own_address: str, addresses: t.Iterable[str]
) -> list[str]:
    """Return the peers to which a process announces a version.

    On the ring of all sorted addresses these are the successors at distances 1, 2, 4
    and so on, so that an announcement reaches n processes in log2(n) rounds although
    each process sends only log2(n) messages.

    :param addresses: ``host:port`` of the other processes.
    """
    ring = sorted({*addresses, own_address})
    position = ring.index(own_address)
    targets = []
    distance = 1
    while distance < len(ring):
        targets.append(ring[(position + distance) % len(ring)])
        distance *= 2
    return targets


class ConfigurationSync:
    """Configuration in force in one process. All methods run on the loop's thread.

    :param peers: returns ``host:port`` of the other processes.
    :param own_address: ``host:port`` on which this process serves its peers.
    :param store_answers: returns whether direct calls to the store are answered.
    :param on_configuration: called with each newer configuration.
    :ivar configuration: configuration in force; ``None`` before the first.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        peers: t.Callable[[], t.Iterable[str]],
        own_address: str,
        store_answers: t.Callable[[], bool],
        on_configuration: t.Callable[[Configuration], None],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._own_address = own_address
        self._store_answers = store_answers
        self._on_configuration = on_configuration
        self.configuration: Configuration | None = None
        self._raw_configuration = b""
        self._watch = PrefixWatch(
            loop,
            store,
            CONFIGURATION_KEY,
            self._on_item,
            shortest_wait_ms=SHORTEST_WATCH_WAIT_MS,
        )
        self._announced_version = 0
        self._announcer = ""
        self._check_pending = False
        self._requested_ms = 0
        self._requests = 0
        self._peer_data_ms = 0

    def start(self) -> None:
        """Read the configuration and watch it."""
        self._watch.start()

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    @property
    def silent_ms(self) -> int:
        """Time since the store last answered for the configuration, in ms."""
        return self._watch.silent_ms

    def encode_for_peer(self) -> dict[str, t.Any]:
        """Return the configuration in force as the body of an answer to a peer."""
        if not self._raw_configuration:
            return {}
        return {"value": self._raw_configuration.decode()}

    def _on_item(self, item: Item) -> None:
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self._adopt(item.value, "store")

    def _adopt(self, value: bytes, source: str) -> None:
        """Put a configuration in force if it is newer than the present one."""
        try:
            configuration = decode_configuration(value)
        except ValueError as error:
            _log.warning(
                "configuration cannot be decoded; ignored", error=str(error)[:200]
            )
            return
        if configuration.version <= self.version:
            return
        self.configuration = configuration
        self._raw_configuration = value
        _log.event(
            "configuration in force",
            version=configuration.version,
            source=source,
            bytes=len(value),
        )
        self._on_configuration(configuration)
        self._announce(configuration.version)

    def _announce(self, version: int) -> None:
        body = json.dumps({"version": version, "address": self._own_address}).encode()
        for address in select_announcement_targets(self._own_address, self._peers()):
            request = HttpRequest(
                "POST", address, ANNOUNCEMENT_PATH, body, timeout_ms=PEER_TIMEOUT_MS
            )
            self._loop.call(
                request, lambda reply, peer=address: self._on_answer(peer, reply)
            )

    def _on_answer(self, peer: str, reply: HttpReply) -> None:
        """Take the version of a peer that has a newer one from its answer."""
        try:
            version = int(decode_object(reply.body)["version"])
        except FIELD_ERRORS:
            return  # the peer's own watch or another process tells it the version
        self.on_announcement(version, peer)

    def answer_announcement(self, body: bytes) -> dict[str, t.Any]:
        """Take note of a peer's announcement and answer with the version in force."""
        try:
            row = decode_object(body)
            version, address = int(row["version"]), str(row["address"])
        except FIELD_ERRORS as error:
            _log.warning("announcement cannot be decoded", error=repr(error)[:200])
        else:
            self.on_announcement(version, address)
        return {"version": self.version}

    def on_announcement(self, version: int, address: str) -> None:
        """Take note that a peer has a version in force.

        :param address: ``host:port`` of the peer, which can send the configuration.
        """
        if version <= max(self.version, self._announced_version):
            return
        self._announced_version = version
        self._announcer = address
        self._requested_ms = 0
        self._requests = 0
        self._schedule_check()

    def _schedule_check(self) -> None:
        if not self._check_pending:
            self._check_pending = True
            self._loop.after(CHECK_INTERVAL_MS, self._check_announced)

    def _check_announced(self) -> None:
        """Request an announced version unless it has arrived or is arriving."""
        self._check_pending = False
        if self.version >= self._announced_version:
            return
        self._schedule_check()
        last_sign_ms = max(
            self._requested_ms, self._watch.last_data_ms, self._peer_data_ms
        )
        if self._loop.clock.now_ms() - last_sign_ms < STALLED_MS:
            return
        self._requested_ms = self._loop.clock.now_ms()
        # A second request goes to the other source, since the first may be cut off.
        asks_peer = not self._store_answers() or self._requests % 2 == 1
        self._requests += 1
        _log.event(
            "requesting an announced configuration",
            version=self._announced_version,
            in_force=self.version,
            source=self._announcer if asks_peer else "store",
            silent_ms=self.silent_ms,
        )
        if asks_peer:
            self._request_from_peer()
        else:
            self._watch.read_beside()

    def _request_from_peer(self) -> None:
        request = HttpRequest(
            "GET",
            self._announcer,
            CONFIGURATION_PATH,
            timeout_ms=PEER_TIMEOUT_MS,
            progress_timeout_ms=PEER_PROGRESS_TIMEOUT_MS,
        )
        self._loop.call(request, self._on_peer_configuration, self._on_peer_data)

    def _on_peer_data(self) -> None:
        self._peer_data_ms = self._loop.clock.now_ms()

    def _on_peer_configuration(self, reply: HttpReply) -> None:
        try:
            value = str(decode_object(reply.body)["value"]).encode()
        except FIELD_ERRORS as error:
            _log.warning(
                "peer sent no configuration",
                peer=self._announcer,
                error=reply.error or repr(error)[:200],
            )
            return
        self._adopt(value, "peer")
