"""Stand-in for the platform's load balancer."""

import random
import threading
import typing as t

from cranberrywheel_standin.http_call import NoAnswerError, call_json

CHECK_INTERVAL_S = 0.2
CHECK_TIMEOUT_MS = 500


class StandInBalancer:
    """Polls ``/readyz`` of each entry instance and chooses among the ready ones.

    :param urls: base URLs of all entry instances.
    :param rng: seeded random source of the choice.
    """

    def __init__(self, urls: t.Sequence[str], rng: random.Random) -> None:
        self._urls = list(urls)
        self._rng = rng
        self._ready_urls = list(urls)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll_readiness, args=(url,), daemon=True)
            for url in urls
        ]
        self._lock = threading.Lock()

    def __enter__(self) -> "StandInBalancer":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details: t.Any) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _poll_readiness(self, url: str) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            try:
                status, _ = call_json(
                    "GET", f"{url}/readyz", timeout_ms=CHECK_TIMEOUT_MS
                )
            except NoAnswerError:
                status = 0
            with self._lock:
                self._ready_urls = [
                    u
                    for u in self._urls
                    if (status == 200 if u == url else u in self._ready_urls)
                ]

    def choose(self) -> str:
        """Return the URL of a random ready instance, or of any if none is ready."""
        with self._lock:
            return self._rng.choice(self._ready_urls or self._urls)
