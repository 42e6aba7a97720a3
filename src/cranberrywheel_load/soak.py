"""A randomised fault soak: real processes, a stand-in platform, faults from outside.

Each seed plays one run. While faults come, callers hand in, ask and cancel; the
promises are checked from what callers and executors see.
"""

import dataclasses
import json
import pathlib
import random
import threading
import time
import typing as t

import pycurl

from cranberrywheel.platform.configuration import CONFIGURATION_KEY
from cranberrywheel.platform.settings import SETTINGS_VARIABLE
from cranberrywheel_load.fault_proxy import Fault, FaultProxy
from cranberrywheel_load.processes import ManagedProcess, free_ports, stop_all
from cranberrywheel_standin.platform_server import PlatformServer

PLATFORM_HOST = "127.0.0.1"
NODES = 3
EXECUTORS = 4
EXECUTOR_CPU = 8_000
SERVICE = "pool"
HOST_NAME = "shop.example"
PREFIX = "/q/"
#: Time from the last fault in which every accepted submission has to end.
SETTLE_S = 20.0
#: Time in which a fresh deployment has to take its first submission.
START_S = 15.0
CALL_TIMEOUT_MS = 3_000
FINAL_STATES = {"completed", "failed", "cancelled"}


@dataclasses.dataclass
class Client:
    """What one caller knows of its submission."""

    submission_id: str
    tasks: int
    accepted: bool = False
    maybe_accepted: bool = False
    cancelled: bool = False
    states: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class SoakPlan:
    """One run.

    :param seconds: length of the time with faults.
    :param submissions: how many are handed in during that time.
    """

    seed: int
    seconds: float
    submissions: int
    folder: pathlib.Path


def call(
    method: str, address: str, path: str, body: bytes | None = None
) -> tuple[int, dict[str, t.Any]]:
    """Make one call as a caller does; status 0 without an answer."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
    curl.setopt(pycurl.HTTPHEADER, [f"Host: {HOST_NAME}", "Expect:"])
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    try:
        text = curl.perform_rb()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error:
        return 0, {}
    finally:
        curl.close()
    try:
        value = json.loads(text) if text else {}
    except ValueError:
        value = {}
    return status, value if isinstance(value, dict) else {}


class Deployment:
    """A stand-in platform with real node processes, each behind proxies."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.lock = threading.Lock()
        ports = iter(free_ports(2 + 2 * EXECUTORS + 5 * NODES))
        store_port, machines_port = next(ports), next(ports)
        self.platform = PlatformServer(PLATFORM_HOST, store_port, machines_port)
        self.executor_proxies: list[FaultProxy] = []
        for number in range(EXECUTORS):
            real, proxied = next(ports), next(ports)
            proxy = FaultProxy((PLATFORM_HOST, proxied), (PLATFORM_HOST, real))
            self.executor_proxies.append(proxy)
            self.platform.add_executor(
                f"x{number}",
                SERVICE,
                real,
                f"{PLATFORM_HOST}:{proxied}",
                EXECUTOR_CPU,
            )
        self.store_proxies: list[FaultProxy] = []
        self.nodes: list[ManagedProcess] = []
        self.fronts: list[str] = []
        for number in range(NODES):
            proxied, front, ready, peer, metrics = (next(ports) for _ in range(5))
            store = (PLATFORM_HOST, proxied)
            self.store_proxies.append(FaultProxy(store, (PLATFORM_HOST, store_port)))
            settings = {
                "nodeName": f"n{number}",
                "ip": PLATFORM_HOST,
                "zone": f"z{number}",
                "listenAddrs": {
                    "frontend": f"{PLATFORM_HOST}:{front}",
                    "ready": f"{PLATFORM_HOST}:{ready}",
                },
                "internalPorts": [peer, peer],
                "platform": {"address": f"{PLATFORM_HOST}:{proxied}"},
                "cloudApi": {"address": f"{PLATFORM_HOST}:{machines_port}"},
            }
            path = folder / f"n{number}.json"
            path.write_text(json.dumps(settings))
            environment = {
                SETTINGS_VARIABLE: str(path),
                "CRANBERRYWHEEL_METRICS_PORT": str(metrics),
            }
            self.nodes.append(
                ManagedProcess(
                    f"n{number}", ["cranberrywheel.programs.node"], folder, environment
                )
            )
            self.fronts.append(f"{PLATFORM_HOST}:{front}")
        self._down: set[int] = set()
        self._stopped = False

    def start(self) -> None:
        """Start everything; processes that end are started again."""
        self.platform.start()
        for proxy in (*self.executor_proxies, *self.store_proxies):
            proxy.start()
        with self.platform.lock:
            self.platform.state.put(CONFIGURATION_KEY, _configuration())
        for node in self.nodes:
            node.start()
        threading.Thread(target=self._supervise, daemon=True).start()

    def _supervise(self) -> None:
        while not self._stopped:
            time.sleep(0.3)
            for number, node in enumerate(self.nodes):
                with self.lock:
                    if not self._stopped and number not in self._down:
                        if not node.is_running():
                            node.start()

    def hold_down(self, number: int, down: bool) -> None:
        """Keep a process from being started again."""
        with self.lock:
            (self._down.add if down else self._down.discard)(number)

    def heal(self) -> None:
        """End all faults."""
        for proxy in (*self.executor_proxies, *self.store_proxies):
            proxy.set(Fault.NONE)
        self.platform.store_unavailable = False
        self.platform.store_delay_ms = 0
        for number, node in enumerate(self.nodes):
            node.resume()
            self.hold_down(number, False)

    def stop(self) -> None:
        """End every process and server."""
        with self.lock:
            self._stopped = True
        stop_all(self.nodes)
        for proxy in (*self.executor_proxies, *self.store_proxies):
            proxy.stop()
        self.platform.stop()


def _configuration() -> bytes:
    route = {
        "name": "orders",
        "host": HOST_NAME,
        "prefix": PREFIX,
        "service": SERVICE,
        "attempts": 3,
        "targetFactor": 2.0,
        "targetLatencyMs": 1_000,
        "timeoutMs": 3_000,
        "public": True,
    }
    service = {"name": SERVICE, "standby": False}
    body = {"version": 1, "routes": [route], "services": [service], "tenants": []}
    return json.dumps(body).encode()


def plan_faults(
    plan: SoakPlan, rng: random.Random
) -> list[tuple[float, str, int, float]]:
    """Draw the faults of a run: time, kind, target and length in seconds."""
    kinds = [
        "node-kill",
        "node-pause",
        "node-stop",
        "node-dark",
        "store-silence",
        "store-cut-answers",
        "store-refuse",
        "store-delay",
        "store-away",
        "executor-silence",
        "executor-reset",
        "executor-cut-answers",
        "executor-restart",
    ]
    faults = []
    at = rng.uniform(0.5, 1.5)
    while at < plan.seconds:
        faults.append((at, rng.choice(kinds), rng.randrange(12), rng.uniform(0.3, 5.0)))
        # Series that overlap: the next fault often comes before this one ends.
        at += rng.expovariate(1 / 1.5)
    return faults


def inject(deployment: Deployment, kind: str, target: int, length_s: float) -> None:
    """Bring about one fault, and end it after its length."""
    node_number = target % NODES
    node = deployment.nodes[node_number]
    store = deployment.store_proxies[node_number]
    executor_number = target % EXECUTORS
    executor = deployment.executor_proxies[executor_number]
    platform = deployment.platform

    def later(function: t.Callable[[], None]) -> None:
        timer = threading.Timer(length_s, function)
        timer.daemon = True
        timer.start()

    if kind == "node-kill":
        node.kill()
    elif kind == "node-pause":
        node.pause()
        later(node.resume)
    elif kind == "node-stop":
        node.terminate()
    elif kind == "node-dark":
        deployment.hold_down(node_number, True)
        node.kill()
        later(lambda: deployment.hold_down(node_number, False))
    elif kind == "store-away":
        platform.store_unavailable = True
        later(lambda: setattr(platform, "store_unavailable", False))
    elif kind == "store-delay":
        store.set(Fault.DELAY, 0.15)
        later(lambda: store.set(Fault.NONE))
    elif kind.startswith("store-"):
        store.set(Fault(kind.removeprefix("store-")))
        later(lambda: store.set(Fault.NONE))
    elif kind == "executor-reset":
        executor.reset()
    elif kind == "executor-restart":
        with platform.lock:
            platform.fleet.executors_by_id[f"x{executor_number}"].restart()
    else:
        executor.set(Fault(kind.removeprefix("executor-")))
        later(lambda: executor.set(Fault.NONE))


class Callers:
    """Hands in, asks and cancels, and notes what was answered."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self.clients: list[Client] = []
        self._calls: list[threading.Thread] = []
        self.violations: list[str] = []

    def begin(self, function: t.Callable[[], None]) -> None:
        """Make calls on a thread of their own."""
        thread = threading.Thread(target=function, daemon=True)
        self._calls.append(thread)
        thread.start()

    def wait(self) -> None:
        """Wait until every call has its answer or has timed out."""
        for thread in self._calls:
            thread.join()

    def submit(self) -> None:
        """Hand in one submission, with retries at any node."""
        count = self._rng.randint(1, 4)
        client = Client(f"{self._rng.getrandbits(64):016x}", 2 * count)
        step = {"count": count, "cpu": 1_000, "memMb": 10, "estimatedMs": 500}
        body = json.dumps(
            {"spec": "work", "steps": [step, {**step, "after": [0]}]}
        ).encode()
        platform = self._deployment.platform
        with platform.lock:
            duration_ms = self._rng.randint(100, 1_500)
            platform.fleet.set_task_profile(client.submission_id, 1_000, duration_ms)
        self.clients.append(client)
        for _ in range(3):
            front = self._rng.choice(self._deployment.fronts)
            status, _ = call("POST", front, PREFIX + client.submission_id, body)
            if 200 <= status < 300:
                client.accepted = True
                return
            # Only a refusal says that nothing of the submission will ever run.
            client.maybe_accepted |= status not in (429, 503)
            time.sleep(0.1)

    def cancel(self) -> None:
        """Cancel a submission that was accepted."""
        candidates = [c for c in self.clients if c.accepted and not c.cancelled]
        if candidates:
            client = self._rng.choice(candidates)
            front = self._rng.choice(self._deployment.fronts)
            status, _ = call("DELETE", front, PREFIX + client.submission_id)
            client.cancelled |= status == 200 or status == 0

    def ask(self, client: Client) -> str:
        """Ask for a state at a random node; ``""`` without an answer."""
        front = self._rng.choice(self._deployment.fronts)
        status, body = call("GET", front, PREFIX + client.submission_id)
        state = str(body.get("state", "")) if status == 200 else ""
        if status == 410 and client.accepted:
            self.violations.append(f"{client.submission_id} accepted, then not known")
        if state:
            self._check(client, state)
            client.states.append(state)
        return state

    def _check(self, client: Client, state: str) -> None:
        name = client.submission_id
        before = [s for s in client.states if s in FINAL_STATES]
        if before and state != before[-1]:
            self.violations.append(f"{name} was {before[-1]}, then {state}")
        if state == "cancelled" and not client.cancelled:
            self.violations.append(f"{name} shown as cancelled, nobody cancelled it")
        if state == "failed":
            self.violations.append(f"{name} shown as failed, nothing failed")
        if state == "completed":
            with self._deployment.platform.lock:
                done = self._deployment.platform.fleet.done_ms_by_task
                finished = sum(task.startswith(name) for task in done)
            if finished < client.tasks:
                self.violations.append(
                    f"{name} completed with {finished} of {client.tasks} tasks done"
                )


def run_soak(plan: SoakPlan, report: t.Callable[[str], None]) -> list[str]:
    """Play one run.

    :param report: gets a line for each fault.
    :returns: broken promises in words; empty if all were kept.
    """
    rng = random.Random(plan.seed)
    plan.folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(plan.folder)
    callers = Callers(deployment, random.Random(plan.seed + 1))
    deployment.start()
    try:
        _wait_for_start(callers)
        begin = time.monotonic()
        events: list[tuple[float, t.Callable[[], None]]] = []
        for at, kind, target, length_s in plan_faults(plan, rng):

            def bring(k: str = kind, n: int = target, s: float = length_s) -> None:
                report(f"{time.monotonic() - begin:6.2f} {k} {n} {s:.1f} s")
                inject(deployment, k, n, s)

            events.append((at, bring))
        for _ in range(plan.submissions):
            at = rng.uniform(0, plan.seconds)
            events.append((at, lambda: callers.begin(callers.submit)))
            if rng.random() < 0.2:
                events.append((at + 0.5, lambda: callers.begin(callers.cancel)))
        for at, event in sorted(events, key=lambda row: row[0]):
            time.sleep(max(0.0, begin + at - time.monotonic()))
            event()
        deployment.heal()
        callers.wait()
        return _settle(deployment, callers)
    finally:
        deployment.heal()
        deployment.stop()


def _wait_for_start(callers: Callers) -> None:
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        callers.submit()
        if callers.clients[-1].accepted:
            return
        time.sleep(0.2)
    callers.violations.append(f"no submission accepted within {START_S} s")


def _settle(deployment: Deployment, callers: Callers) -> list[str]:
    end = time.monotonic() + SETTLE_S
    left = [c for c in callers.clients if c.accepted]
    while left and time.monotonic() < end:
        left = [c for c in left if callers.ask(c) not in FINAL_STATES]
        time.sleep(0.2)
    violations = list(callers.violations)
    violations += [
        f"{c.submission_id} has not ended: {c.states[-1:] or 'no answer'}" for c in left
    ]
    platform = deployment.platform
    with platform.lock:
        violations += platform.fleet.violations
        started = {task.partition(".")[0] for task in platform.fleet.started_tasks}
    for client in callers.clients:
        if not client.accepted and not client.maybe_accepted:
            if client.submission_id in started:
                violations.append(f"{client.submission_id} refused, but it ran")
    return violations
