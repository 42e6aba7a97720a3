"""Whether this process reaches the store, and which peer reaches it otherwise."""

import dataclasses
import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.logs import ComponentLogger

STATUS_PATH = "/peer/status"
#: Path prefix under which a peer passes a call on to the store.
RELAY_PREFIX = "/relay"
#: Calls in a row without an answer after which the store counts as away.
MAX_FAILURES = 2
#: Time without any answer after which one failed call is enough.
SILENCE_MS = 900
#: Time between two questions to the peers while the store is away.
ASK_INTERVAL_MS = 250
#: Longest wait for a peer: zones are about a millisecond apart.
PEER_TIMEOUT_MS = 400
#: How long a peer's word holds.
WORD_MS = 1_000
#: Time alone after which the balancer should send callers elsewhere.
ISOLATED_MS = 700
#: Longer than all leases that a leader without the store may have granted.
MEMORY_MS = 8_000

_log = ComponentLogger("store-contact")


@dataclasses.dataclass(frozen=True, slots=True)
class _Word:
    heard_ms: int
    store_away: bool
    fence: int


class StoreContact:
    """Watches the way to the store and asks the peers while it is broken.

    All methods run on the loop's thread.

    :param peers: addresses of the other entry instances.
    :param probe: makes one direct call to the store.
    """

    def __init__(
        self,
        loop: HttpLoop,
        peers: t.Callable[[], list[str]],
        probe: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._probe = probe
        self._contact_ms = loop.clock.now_ms()
        self._failures = 0
        self._word_by_address: dict[str, _Word] = {}
        self._helper: str | None = None
        self._away_since_ms = 0
        # A process that has just started does not know what was before.
        self._last_away_ms = loop.clock.now_ms()

    def start(self) -> None:
        """Begin to watch."""
        self._loop.after(ASK_INTERVAL_MS, self._tick)

    def note(self, answered: bool) -> None:
        """Note the end of a direct call to the store."""
        if answered:
            self._contact_ms = self._loop.clock.now_ms()
            self._failures = 0
        else:
            self._failures += 1
            if self._failures == 1:
                self._ask()  # their word is there when the next call fails too
        self._update()

    @property
    def is_away(self) -> bool:
        """Whether the store does not answer this process directly."""
        return self._away_since_ms > 0

    def helper(self) -> str | None:
        """Return the peer through which the store is reached, if need be."""
        return self._helper if self.is_away else None

    @property
    def can_write(self) -> bool:
        """Whether a call has a way to the store."""
        return not self.is_away or self._helper is not None

    def all_away(self, fence: int) -> bool:
        """Whether every peer says that the store is away and knows no newer leader.

        :param fence: fence of the leadership that this process holds.
        """
        if not self.is_away:
            return False
        now_ms = self._loop.clock.now_ms()
        for address in self._peers():
            word = self._word_by_address.get(address)
            if word is None or now_ms - word.heard_ms > WORD_MS:
                return False
            if not word.store_away or word.fence > fence:
                return False
        return True

    def is_isolated(self, fence: int) -> bool:
        """Whether callers are served better elsewhere: others reach the store."""
        now_ms = self._loop.clock.now_ms()
        return (
            self.is_away
            and now_ms - self._away_since_ms > ISOLATED_MS
            and self._helper is None
            and not self.all_away(fence)
        )

    def was_away_lately(self) -> bool:
        """Whether a leader may have gone on without the store a moment ago."""
        if self.is_away:
            return True
        return self._loop.clock.now_ms() - self._last_away_ms < MEMORY_MS

    def _update(self) -> None:
        now_ms = self._loop.clock.now_ms()
        away = self._failures >= MAX_FAILURES or (
            self._failures > 0 and now_ms - self._contact_ms > SILENCE_MS
        )
        if away and not self._away_since_ms:
            self._away_since_ms = now_ms
            _log.warning("store lost", failures=self._failures)
            self._choose()
            self._ask()
        elif not away and self._away_since_ms:
            _log.event("store regained", after_ms=now_ms - self._away_since_ms)
            self._away_since_ms = 0
            self._last_away_ms = now_ms
            self._helper = None
            self._word_by_address.clear()

    def _tick(self) -> None:
        self._loop.after(ASK_INTERVAL_MS, self._tick)
        if self.is_away:
            self._probe()
            self._ask()

    def _ask(self) -> None:
        for address in self._peers():
            request = HttpRequest(
                "GET", address, STATUS_PATH, timeout_ms=PEER_TIMEOUT_MS
            )
            self._loop.call(request, lambda reply, a=address: self._hear(a, reply))

    def _hear(self, address: str, reply: HttpReply) -> None:
        try:
            body = json.loads(reply.body)
            word = _Word(
                self._loop.clock.now_ms(), bool(body["store_away"]), int(body["fence"])
            )
        except (KeyError, TypeError, ValueError):
            self._word_by_address.pop(address, None)
            if self._helper == address:
                self._choose()
            return
        self._word_by_address[address] = word
        if not self.is_away:
            return
        if self._helper is None or self._helper == address:
            self._choose()

    def _choose(self) -> None:
        now_ms = self._loop.clock.now_ms()
        able = [
            address
            for address, word in self._word_by_address.items()
            if not word.store_away and now_ms - word.heard_ms <= WORD_MS
        ]
        chosen = self._helper if self._helper in able else None
        chosen = chosen or (able[0] if able else None)
        if chosen != self._helper and self.is_away:
            _log.event("way to the store", helper=chosen or "none")
        self._helper = chosen
