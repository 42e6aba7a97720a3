"""Callers of a soak that keep connections open and check which configuration answers.

Each probe holds one connection to a node for as long as the node keeps it open, and
asks for routes that exist, that were removed, and that never existed.
"""

import dataclasses
import json
import random
import threading
import time
import typing as t

import pycurl

#: Time after its acknowledgement from which a version has to be in force, as on the
#: grown deployments.
CONFIGURATION_APPLY_S = 3.0
#: Time without a disturbance after which a node counts as undisturbed, as there.
STABLE_WINDOW_S = 4.0
#: A connection that ends later than this after a request was sent cuts the request off.
LOSS_SLACK_S = 0.2
PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_MS = 3_000
ROUTE_HOST = "shop.example"
NO_ANSWER = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """A version that the operator wrote.

    :param routes: prefixes of its routes.
    :param sent_s: monotonic time before it was written.
    :param acked_s: monotonic time after it was written.
    """

    routes: frozenset[str]
    sent_s: float
    acked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Answer to one request of a probe.

    :param status: HTTP status, or :data:`NO_ANSWER`.
    :param reused: the request was sent on a connection that was open before.
    """

    node: int
    route: str
    sent_s: float
    ended_s: float
    status: int
    reused: bool


class Operator:
    """Writes configurations whose set of routes changes.

    :param put: writes the configuration to the store.
    :param base_route: route of the submissions, which stays.
    :param filler_routes: number of further routes, which make the record large.
    :param other_routes: further routes of submissions, which stay.
    """

    def __init__(
        self,
        put: t.Callable[[bytes], None],
        base_route: dict[str, t.Any],
        filler_routes: int,
        other_routes: t.Sequence[dict[str, t.Any]] = (),
    ) -> None:
        self._put = put
        self._base_route = base_route
        self._other_routes = other_routes
        self._filler = [f"/filler/{number:05}/" for number in range(filler_routes)]
        self._added: list[str] = []
        self.versions: list[ConfigurationVersion] = []
        self.apply([])

    def change(self, rng: random.Random) -> None:
        """Add a route, and sometimes remove an earlier one."""
        kept = [route for route in self._added if rng.random() < 0.8]
        self.apply([*kept, f"/added/{len(self.versions)}/"])

    def apply(self, added: list[str]) -> None:
        """Write the next version."""
        self._added = added
        prefixes = [*added, *self._filler]
        rows = [
            {**self._base_route, "name": f"r{number}", "prefix": prefix}
            for number, prefix in enumerate(prefixes)
        ]
        body = {
            "version": 2 * len(self.versions) + 1,
            "routes": [self._base_route, *self._other_routes, *rows],
            "services": [{"name": self._base_route["service"], "standby": False}],
            "tenants": [],
        }
        sent_s = time.monotonic()
        self._put(json.dumps(body).encode())
        self.versions.append(
            ConfigurationVersion(frozenset(added), sent_s, time.monotonic())
        )

    def choose_route(self, rng: random.Random) -> str:
        """Return a route of any version so far, or one that never existed."""
        routes = [route for version in self.versions for route in version.routes]
        return rng.choice([*routes[-12:], "/never/"])


class Probe:
    """Sends requests to one node over one connection until it is stopped."""

    def __init__(
        self, node: int, address: str, operator: Operator, rng: random.Random
    ) -> None:
        self._node = node
        self._address = address
        self._operator = operator
        self._rng = rng
        self._stopped = threading.Event()
        self.results: list[ProbeResult] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread of the probe."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the request that is under way."""
        self._stopped.set()
        self._thread.join(PROBE_TIMEOUT_MS / 1000 + 1)

    def _run(self) -> None:
        curl = pycurl.Curl()
        while not self._stopped.wait(PROBE_INTERVAL_S):
            self.results.append(self._request(curl))
        curl.close()

    def _request(self, curl: pycurl.Curl) -> ProbeResult:
        route = self._operator.choose_route(self._rng)
        curl.setopt(pycurl.URL, f"http://{self._address}{route}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, PROBE_TIMEOUT_MS)
        curl.setopt(pycurl.HTTPHEADER, [f"Host: {ROUTE_HOST}"])
        curl.setopt(pycurl.WRITEFUNCTION, len)
        sent_s = time.monotonic()
        status = NO_ANSWER
        try:
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error:
            pass  # recorded as NO_ANSWER
        reused = curl.getinfo(pycurl.NUM_CONNECTS) == 0
        return ProbeResult(self._node, route, sent_s, time.monotonic(), status, reused)


def find_late_configurations(
    versions: t.Sequence[ConfigurationVersion],
    results: t.Iterable[ProbeResult],
    is_disturbed: t.Callable[[int, float, float], bool],
) -> list[str]:
    """Return a message for each answer that only an outdated version allows.

    :param is_disturbed: tells whether a node was disturbed between two times.
    """
    messages = []
    for result in results:
        due_s = result.sent_s - CONFIGURATION_APPLY_S
        newest_due = max(
            (i for i, version in enumerate(versions) if version.acked_s < due_s),
            default=0,
        )
        candidates = [
            version
            for version in versions[newest_due:]
            if version.sent_s <= result.ended_s
        ]
        allowed = {result.route in version.routes for version in candidates}
        if result.status == 404:
            is_wrong = allowed == {True}
        else:
            is_wrong = result.status == 200 and allowed == {False}
        since_s = due_s - STABLE_WINDOW_S
        if is_wrong and not is_disturbed(result.node, since_s, result.ended_s):
            messages.append(
                f"node {result.node} answered {result.status} for {result.route}, as "
                f"only a version before number {newest_due} does"
            )
    return messages


def find_cut_requests(
    results: t.Iterable[ProbeResult],
    is_stopping: t.Callable[[int, float, float], bool],
) -> list[str]:
    """Return a message for each request that a planned stop cut off.

    :param is_stopping: tells whether a node did nothing but stop gracefully between two
        times.
    """
    return [
        f"node {result.node} cut off a request {result.ended_s - result.sent_s:.2f} s "
        "after it was sent"
        for result in results
        if result.status == NO_ANSWER
        and result.ended_s - result.sent_s > LOSS_SLACK_S
        and is_stopping(result.node, result.sent_s, result.ended_s)
    ]
