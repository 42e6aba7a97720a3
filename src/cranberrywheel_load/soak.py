"""Soak test that injects random faults into node processes.

Each seed determines one run against a stand-in platform. While faults are injected,
simulated callers create, query and cancel submissions. The guarantees are checked
from the answers that callers receive and the runs that executors record.
"""

import dataclasses
import json
import pathlib
import random
import signal
import threading
import time
import typing as t

import pycurl

from cranberrywheel.platform.configuration import CONFIGURATION_KEY
from cranberrywheel.platform.settings import SETTINGS_VARIABLE
from cranberrywheel_load.fault_proxy import Fault, FaultProxy
from cranberrywheel_load.processes import ManagedProcess, find_free_ports, stop_all
from cranberrywheel_load.soak_probes import (
    ROUTE_HOST,
    STABLE_WINDOW_S,
    Operator,
    Probe,
    find_cut_requests,
    find_late_configurations,
)
from cranberrywheel_standin.advisor import AdvisorState
from cranberrywheel_standin.platform_server import PlatformServer

PLATFORM_HOST = "127.0.0.1"
EXECUTOR_CPU_MILLICORES = 8_000
SERVICE_NAME = "pool"
ROUTE_PREFIX = "/q/"
#: Time after the last fault within which every accepted submission has to reach a
#: final state.
COMPLETION_TIMEOUT_S = 20.0
#: Time within which a new deployment has to accept its first submission.
STARTUP_TIMEOUT_S = 15.0
CALL_TIMEOUT_MS = 3_000
#: Grace period of a stop, which is that of the users' deployments.
GRACE_S = 6.0
#: Time that a process takes until it can serve.
START_S = 2.0
#: Time between the stops of a rolling restart.
ROLL_GAP_S = 1.0
#: Time for which watches are silent before the history is dropped.
WATCH_SILENCE_S = 1.0
FINAL_STATES = {"completed", "failed", "cancelled"}
#: Kinds of faults; one that is named twice is chosen twice as often.
FAULT_KINDS = (
    "node-kill",
    "node-pause",
    "node-stop",
    "node-dark",
    "store-silence",
    "store-cut-answers",
    "store-refuse",
    "store-delay",
    "store-throttle",
    "store-away",
    "store-drops-history",
    "node-hangup",
    "node-roll",
    "configuration",
    "configuration",
    "executor-silence",
    "executor-reset",
    "executor-cut-answers",
    "executor-restart",
    "executor-crash",
)
#: Kinds under which calls that got no answer are carried out late.
LATE_FAULT_KINDS = (
    "executor-late",
    "executor-late",
    "executor-late",
    "store-late",
    "store-late",
)
#: Kinds of a deployment with advised queues; a call for advice is lost, held up or
#: refused, while leaders change and executors begin new lives.
ADVISOR_FAULT_KINDS = (
    "advisor-silence",
    "advisor-cut-answers",
    "advisor-refuse",
    "advisor-delay",
    "advisor-reset",
    "advisor-slow",
    "node-kill",
    "node-pause",
    "node-stop",
    "node-dark",
    "node-roll",
    "store-silence",
    "store-away",
    "configuration",
    "executor-restart",
    "executor-crash",
)
#: Time that the advisor takes for each call and for each executor that it names.
DECISION_MS, PERIOD_MS = 80, 5
#: Validity of a ticket.
TICKET_VALID_MS = 2_000
#: Factor on these times while the advisor is slow.
SLOW_ADVISOR_FACTOR = 5
#: Submissions of a burst, which go to one queue at once.
BURST_SUBMISSIONS = 16
#: Bounds of the time after which such a call is carried out, as the platform has them.
LATE_EXECUTOR_DELAY_S = (2.0, 12.0)
LATE_STORE_DELAY_S = (1.0, 6.0)
#: Share of the callers that cancel after an attempt without an answer.
GIVE_UP_SHARE = 0.5


#: Answers to a cancellation after which a submission may be cancelled; 0 is none, and
#: 504 says that the outcome is unknown.
MAY_BE_CANCELLED = (200, 0, 504)


@dataclasses.dataclass
class TrackedSubmission:
    """The state of one submission as its caller knows it.

    :param tasks: number of tasks of all steps.
    :param prefix: path prefix of its queue.
    :param accepted: whether a node answered that it accepted the submission.
    :param possibly_accepted: whether an attempt ended without an answer, or with one
        that does not rule out that the submission runs.
    :param cancelled: whether a cancellation was accepted, got no answer, or one that
        leaves its outcome open.
    :param withdrawn: whether a cancellation was answered with 410, so that no task of
        the submission may ever start.
    :param states: states that nodes reported, in order of arrival.
    """

    submission_id: str
    tasks: int
    prefix: str = ROUTE_PREFIX
    accepted: bool = False
    possibly_accepted: bool = False
    cancelled: bool = False
    withdrawn: bool = False
    states: list[str] = dataclasses.field(default_factory=list)

    @property
    def path(self) -> str:
        """Path of its calls."""
        return self.prefix + self.submission_id


@dataclasses.dataclass(frozen=True)
class SoakSize:
    """Size of a deployment.

    :param nodes: number of node processes.
    :param executors: number of simulated executors.
    :param filler_routes: routes that make the configuration large; 1,000 take 230 kB.
    :param zones: availability zones of the executors, which belong to them in turn.
    :param evacuation_ms: bound of an evacuation that the platform names; 0 for none.
    :param advised_queues: queues with an advisor, beside the one without.
    """

    nodes: int = 3
    executors: int = 4
    filler_routes: int = 600
    zones: tuple[str, ...] = ("z1",)
    evacuation_ms: int = 0
    advised_queues: int = 0


@dataclasses.dataclass(frozen=True)
class SoakPlan:
    """Parameters of one run.

    :param seconds: length of the period in which faults are injected.
    :param submissions: number of submissions created in that period.
    :param folder: folder for settings and logs.
    :param size: numbers of processes and routes.
    :param kinds: kinds of faults to choose from; the seed chooses by their order.
    """

    seed: int
    seconds: float
    submissions: int
    folder: pathlib.Path
    size: SoakSize = SoakSize()
    kinds: tuple[str, ...] = FAULT_KINDS


def send_call(
    method: str, address: str, path: str, body: bytes | None = None
) -> tuple[int, dict[str, t.Any]]:
    """Send one HTTP request to a node.

    :param address: host and port of the node's front end.
    :returns: status and JSON object of the answer; status 0 if there is no answer.
    """
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
    curl.setopt(pycurl.HTTPHEADER, [f"Host: {ROUTE_HOST}", "Expect:"])
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
    """A stand-in platform and node processes, connected through fault proxies.

    :param folder: folder for settings and logs.
    :param size: numbers of processes and routes.
    """

    def __init__(self, folder: pathlib.Path, size: "SoakSize | None" = None) -> None:
        self.folder = folder
        self._size = size or SoakSize()
        node_count, executor_count = self._size.nodes, self._size.executors
        self.lock = threading.Lock()
        ports = iter(find_free_ports(2 + 2 * executor_count + 7 * node_count))
        store_port, machines_port = next(ports), next(ports)
        self.platform = PlatformServer(PLATFORM_HOST, store_port, machines_port)
        self.executor_proxies: list[FaultProxy] = []
        for number in range(executor_count):
            executor_port, proxy_port = next(ports), next(ports)
            proxy = FaultProxy(
                (PLATFORM_HOST, proxy_port), (PLATFORM_HOST, executor_port)
            )
            self.executor_proxies.append(proxy)
            self.platform.add_executor(
                f"x{number}",
                SERVICE_NAME,
                executor_port,
                f"{PLATFORM_HOST}:{proxy_port}",
                EXECUTOR_CPU_MILLICORES,
                self._size.zones[number % len(self._size.zones)],
            )
        advised_routes = _build_advised_routes(self._size.advised_queues)
        self.prefixes = [ROUTE_PREFIX, *(route["prefix"] for route in advised_routes)]
        self._advised_routes = advised_routes
        self.advisor: AdvisorState | None = None
        self.advisor_proxies: list[FaultProxy] = []
        advisor_ports = [next(ports) for _ in range(node_count)]
        if advised_routes:
            self.advisor = self.platform.add_advisor(
                advisor_ports,
                AdvisorState(
                    self.platform.clock,
                    self.platform.fleet.get_boot,
                    _may_run_step,
                    DECISION_MS,
                    PERIOD_MS,
                    TICKET_VALID_MS,
                ),
            )
        self.store_proxies: list[FaultProxy] = []
        self.nodes: list[ManagedProcess] = []
        self.front_addresses: list[str] = []
        self.metrics_addresses: list[str] = []
        for number in range(node_count):
            proxy_port, front_port, ready_port, peer_port, metrics_port = (
                next(ports) for _ in range(5)
            )
            store_address = (PLATFORM_HOST, proxy_port)
            self.store_proxies.append(
                FaultProxy(store_address, (PLATFORM_HOST, store_port))
            )
            settings = {
                "nodeName": f"n{number}",
                "ip": PLATFORM_HOST,
                "zone": f"z{number}",
                "listenAddrs": {
                    "frontend": f"{PLATFORM_HOST}:{front_port}",
                    "ready": f"{PLATFORM_HOST}:{ready_port}",
                },
                "internalPorts": [peer_port, peer_port],
                "platform": {"address": f"{PLATFORM_HOST}:{proxy_port}"},
                "cloudApi": {"address": f"{PLATFORM_HOST}:{machines_port}"},
            }
            advisor_proxy_port = next(ports)
            if self.advisor is not None:
                advisor_address = (PLATFORM_HOST, advisor_proxy_port)
                self.advisor_proxies.append(
                    FaultProxy(advisor_address, (PLATFORM_HOST, advisor_ports[number]))
                )
                settings["advisor"] = f"{PLATFORM_HOST}:{advisor_proxy_port}"
            if self._size.evacuation_ms:
                settings["bounds"] = {"evacuationMs": self._size.evacuation_ms}
            path = folder / f"n{number}.json"
            path.write_text(json.dumps(settings))
            environment = {
                SETTINGS_VARIABLE: str(path),
                "CRANBERRYWHEEL_METRICS_PORT": str(metrics_port),
            }
            self.nodes.append(
                ManagedProcess(
                    f"n{number}", ["cranberrywheel.programs.node"], folder, environment
                )
            )
            self.front_addresses.append(f"{PLATFORM_HOST}:{front_port}")
            self.metrics_addresses.append(f"{PLATFORM_HOST}:{metrics_port}")
        self._blocked_nodes: set[int] = set()
        self._stopped = False
        #: Times at which a node was disturbed, as kind, start and end, by node.
        self.disturbances_by_node: dict[int, list[tuple[str, float, float]]] = {
            number: [] for number in range(len(self.nodes))
        }
        self.operator: Operator | None = None

    def wait_until_served(self, prefix: str) -> list[str]:
        """Wait until every node serves a route, or for the time of a start.

        :returns: front ends that do not serve it.
        """
        deadline_s = time.monotonic() + STARTUP_TIMEOUT_S
        waiting = list(self.front_addresses)
        while waiting and time.monotonic() < deadline_s:
            waiting = [
                front for front in waiting if send_call("GET", front, prefix)[0] != 200
            ]
            time.sleep(0.1)
        return waiting

    @property
    def _proxies(self) -> list[FaultProxy]:
        return [*self.executor_proxies, *self.store_proxies, *self.advisor_proxies]

    def record_disturbance(self, kind: str, node: int, length_s: float) -> None:
        """Record that a node is disturbed from now on for a time."""
        now_s = time.monotonic()
        self.disturbances_by_node[node].append((kind, now_s, now_s + length_s))

    def find_disturbances(self, node: int, start_s: float, end_s: float) -> set[str]:
        """Return the kinds of the disturbances of a node between two times."""
        return {
            kind
            for kind, first_s, last_s in self.disturbances_by_node[node]
            if first_s <= end_s and last_s >= start_s
        }

    def start(self) -> None:
        """Start all servers and processes, and restart nodes that exit."""
        self.platform.start()
        for proxy in self._proxies:
            proxy.start()

        def put(value: bytes) -> None:
            with self.platform.lock:
                self.platform.state.put(CONFIGURATION_KEY, value)

        self.operator = Operator(
            put, _build_route(), self._size.filler_routes, self._advised_routes
        )
        for node in self.nodes:
            node.start()
        threading.Thread(target=self._restart_exited_nodes, daemon=True).start()

    def _restart_exited_nodes(self) -> None:
        while not self._stopped:
            time.sleep(0.3)
            for number, node in enumerate(self.nodes):
                with self.lock:
                    if not self._stopped and number not in self._blocked_nodes:
                        if not node.is_running():
                            self.record_disturbance("start", number, START_S)
                            node.start()

    def set_restart_blocked(self, number: int, blocked: bool) -> None:
        """Prevent a node from being restarted, or allow it again."""
        with self.lock:
            (self._blocked_nodes.add if blocked else self._blocked_nodes.discard)(
                number
            )

    def heal(self) -> None:
        """End all injected faults."""
        for proxy in self._proxies:
            proxy.set(Fault.NONE)
        if self.advisor is not None:
            self.advisor.decision_ms = DECISION_MS
        self.platform.store_unavailable = False
        self.platform.store_delay_ms = 0
        self.platform.watches_silent = False
        for number, node in enumerate(self.nodes):
            node.resume()
            self.set_restart_blocked(number, False)

    def stop(self) -> None:
        """Stop all processes and servers."""
        with self.lock:
            self._stopped = True
        stop_all(self.nodes)
        for proxy in self._proxies:
            proxy.stop()
        self.platform.stop()


def _build_route() -> dict[str, t.Any]:
    return {
        "name": "orders",
        "host": ROUTE_HOST,
        "prefix": ROUTE_PREFIX,
        "service": SERVICE_NAME,
        "attempts": 3,
        "targetFactor": 2.0,
        "targetLatencyMs": 1_000,
        "timeoutMs": 3_000,
        "public": True,
    }


def _build_advised_routes(count: int) -> list[dict[str, t.Any]]:
    return [
        {
            **_build_route(),
            "name": f"advised-{number}",
            "prefix": f"/advised-{number}/",
            "priority": number % 2,
            "advisor": {
                "decisionMs": DECISION_MS,
                "periodMs": PERIOD_MS,
                "validMs": TICKET_VALID_MS,
            },
        }
        for number in range(count)
    ]


def _may_run_step(step: str, executor_id: str) -> bool:
    """Tell whether a step may run on an executor: on about every second one."""
    return random.Random(f"{step} {executor_id}").random() < 0.5 or executor_id == "x0"


def plan_faults(
    plan: SoakPlan, rng: random.Random
) -> list[tuple[float, str, int, float]]:
    """Choose the faults of a run.

    :returns: start in seconds from the start of the run, kind, number of the target,
        and length in seconds of each fault.
    """
    faults = []
    start_s = rng.uniform(0.5, 1.5)
    while start_s < plan.seconds:
        faults.append(
            (
                start_s,
                rng.choice(plan.kinds),
                rng.randrange(1_000),
                rng.uniform(0.3, 5.0),
            )
        )
        # The mean distance is shorter than the mean length, so that faults overlap.
        start_s += rng.expovariate(1 / 1.5)
    return faults


def inject_fault(
    deployment: Deployment, kind: str, target: int, length_s: float
) -> None:
    """Inject one fault and schedule its end.

    :param target: number that selects the node or the executor, modulo their count.
    """
    node_number = target % len(deployment.nodes)
    node = deployment.nodes[node_number]
    store = deployment.store_proxies[node_number]
    executor_number = target % len(deployment.executor_proxies)
    executor = deployment.executor_proxies[executor_number]
    platform = deployment.platform

    def schedule_end(function: t.Callable[[], None]) -> None:
        timer = threading.Timer(length_s, function)
        timer.daemon = True
        timer.start()

    advisor = deployment.advisor
    disturbed = [node_number] if kind.startswith(("node-", "store-")) else []
    if kind in ("store-away", "store-drops-history", "node-roll"):
        disturbed = list(range(len(deployment.nodes)))
    if kind not in ("store-throttle", "node-hangup"):
        for number in disturbed:
            deployment.record_disturbance(kind, number, length_s)
    if kind == "node-kill":
        node.kill()
    elif kind == "node-hangup":
        node.send_signal(signal.SIGHUP)
    elif kind == "node-roll":
        for number in range(len(deployment.nodes)):
            timer = threading.Timer(
                number * ROLL_GAP_S, _stop_node, (deployment, number)
            )
            timer.daemon = True
            timer.start()
    elif kind == "configuration":
        assert deployment.operator is not None
        deployment.operator.change(random.Random(target))
    elif kind == "store-drops-history":
        _drop_history(deployment, target)
    elif kind == "node-pause":
        node.pause()
        schedule_end(node.resume)
    elif kind == "node-stop":
        _stop_node(deployment, node_number)
    elif kind == "node-dark":
        deployment.set_restart_blocked(node_number, True)
        node.kill()
        schedule_end(lambda: deployment.set_restart_blocked(node_number, False))
    elif kind == "store-away":
        platform.store_unavailable = True
        schedule_end(lambda: setattr(platform, "store_unavailable", False))
    elif kind == "advisor-slow":
        assert advisor is not None
        advisor.decision_ms = SLOW_ADVISOR_FACTOR * DECISION_MS
        schedule_end(lambda: setattr(advisor, "decision_ms", DECISION_MS))
    elif kind.startswith("advisor-"):
        _disturb_advisor(deployment, kind, schedule_end)
    elif kind == "store-delay":
        store.set(Fault.DELAY, 0.15)
        schedule_end(lambda: store.set(Fault.NONE))
    elif kind == "store-late":
        store.set(Fault.LATE, random.Random(target).uniform(*LATE_STORE_DELAY_S))
        schedule_end(lambda: store.set(Fault.NONE))
    elif kind == "executor-late":
        executor.set(Fault.LATE, random.Random(target).uniform(*LATE_EXECUTOR_DELAY_S))
        schedule_end(lambda: executor.set(Fault.NONE))
    elif kind.startswith("store-"):
        store.set(Fault(kind.removeprefix("store-")))
        schedule_end(lambda: store.set(Fault.NONE))
    elif kind == "executor-reset":
        executor.reset()
    elif kind == "executor-restart":
        with platform.lock:
            platform.fleet.executors_by_id[f"x{executor_number}"].restart()
    elif kind == "executor-crash":
        executor.set(Fault.REFUSE)
        with platform.lock:
            platform.fleet.executors_by_id[f"x{executor_number}"].restart()
        schedule_end(lambda: executor.set(Fault.NONE))
    else:
        executor.set(Fault(kind.removeprefix("executor-")))
        schedule_end(lambda: executor.set(Fault.NONE))


def _disturb_advisor(
    deployment: Deployment,
    kind: str,
    schedule_end: t.Callable[[t.Callable[[], None]], None],
) -> None:
    """Disturb the calls of all machines, since any of them may lead."""
    for proxy in deployment.advisor_proxies:
        if kind == "advisor-reset":
            proxy.reset()
        elif kind == "advisor-delay":
            proxy.set(Fault.DELAY, 0.3)
            schedule_end(lambda proxy=proxy: proxy.set(Fault.NONE))
        else:
            proxy.set(Fault(kind.removeprefix("advisor-")))
            schedule_end(lambda proxy=proxy: proxy.set(Fault.NONE))


def _stop_node(deployment: Deployment, number: int) -> None:
    deployment.record_disturbance("node-stop", number, GRACE_S)
    node = deployment.nodes[number]
    if node.is_running():
        node.terminate()


def _drop_history(deployment: Deployment, target: int) -> None:
    """Silence all watches while the configuration changes, then drop the history."""
    platform = deployment.platform
    platform.watches_silent = True
    assert deployment.operator is not None
    deployment.operator.change(random.Random(target))

    def drop() -> None:
        with platform.lock:
            platform.state.drop_history()
        platform.watches_silent = False

    timer = threading.Timer(WATCH_SILENCE_S, drop)
    timer.daemon = True
    timer.start()


class SimulatedCallers:
    """Creates, queries and cancels submissions and records the answers."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self.submissions: list[TrackedSubmission] = []
        self._threads: list[threading.Thread] = []
        self.violations: list[str] = []

    def run_in_thread(self, function: t.Callable[[], None]) -> None:
        """Run a function that sends calls in a new thread."""
        thread = threading.Thread(target=function, daemon=True)
        self._threads.append(thread)
        thread.start()

    def wait(self) -> None:
        """Wait until every call is answered or has timed out."""
        for thread in self._threads:
            thread.join()

    def submit(self, prefix: str = "") -> None:
        """Create one submission; retry up to twice, each time at a random node.

        :param prefix: path prefix of its queue; by default that of a random one.
        """
        count = self._rng.randint(1, 4)
        submission = TrackedSubmission(f"{self._rng.getrandbits(64):016x}", 2 * count)
        prefixes = self._deployment.prefixes
        chooser = random.Random(submission.submission_id + "queue")
        submission.prefix = prefix or chooser.choice(prefixes)
        step = {"count": count, "cpu": 1_000, "memMb": 10, "estimatedMs": 500}
        body = json.dumps(
            {"spec": "work", "steps": [step, {**step, "after": [0]}]}
        ).encode()
        platform = self._deployment.platform
        with platform.lock:
            duration_ms = self._rng.randint(100, 1_500)
            platform.fleet.set_task_profile(
                submission.submission_id, 1_000, duration_ms
            )
            if submission.prefix == ROUTE_PREFIX:
                platform.fleet.unadvised_submissions.add(submission.submission_id)
        self.submissions.append(submission)
        gives_up = random.Random(submission.submission_id).random() < GIVE_UP_SHARE
        for _ in range(3):
            front_address = self._rng.choice(self._deployment.front_addresses)
            status, _ = send_call("POST", front_address, submission.path, body)
            if 200 <= status < 300:
                submission.accepted = True
                return
            # Only 429 and 503 guarantee that no task of the submission will run.
            submission.possibly_accepted |= status not in (429, 503)
            if submission.possibly_accepted and gives_up:
                self._withdraw(submission)
                return
            time.sleep(0.1)

    def _withdraw(self, submission: TrackedSubmission) -> None:
        """Cancel a submission that may be stored or not."""
        rng = random.Random(submission.submission_id)
        for address in rng.sample(self._deployment.front_addresses, 2):
            status, _ = send_call("DELETE", address, submission.path)
            submission.cancelled |= status in MAY_BE_CANCELLED
            submission.withdrawn |= status == 410
            if status in (200, 410):
                return

    def cancel(self) -> None:
        """Cancel a random submission that was accepted."""
        candidates = [c for c in self.submissions if c.accepted and not c.cancelled]
        if candidates:
            submission = self._rng.choice(candidates)
            front_address = self._rng.choice(self._deployment.front_addresses)
            status, _ = send_call("DELETE", front_address, submission.path)
            submission.cancelled |= status in MAY_BE_CANCELLED

    def query_state(self, submission: TrackedSubmission) -> str:
        """Query the state of a submission at a random node.

        :returns: the state, or ``""`` if the node did not report one.
        """
        front_address = self._rng.choice(self._deployment.front_addresses)
        status, body = send_call("GET", front_address, submission.path)
        state = str(body.get("state", "")) if status == 200 else ""
        if status == 410 and submission.accepted:
            self.violations.append(f"{submission.submission_id} accepted, then unknown")
        if state:
            self._check_state(submission, state)
            submission.states.append(state)
        return state

    def _check_state(self, submission: TrackedSubmission, state: str) -> None:
        name = submission.submission_id
        before = [s for s in submission.states if s in FINAL_STATES]
        if before and state != before[-1]:
            self.violations.append(f"{name} was {before[-1]}, then {state}")
        if state == "cancelled" and not submission.cancelled:
            self.violations.append(f"{name} cancelled without a request to cancel")
        if state == "failed":
            self.violations.append(f"{name} failed, but no task was made to fail")
        if state == "completed":
            with self._deployment.platform.lock:
                done = self._deployment.platform.fleet.done_ms_by_task
                finished = sum(task.startswith(name) for task in done)
            if finished < submission.tasks:
                self.violations.append(
                    f"{name} completed with {finished} of {submission.tasks} tasks done"
                )


def run_soak(plan: SoakPlan, report: t.Callable[[str], None]) -> list[str]:
    """Execute one run.

    :param report: receives a line for each injected fault.
    :returns: descriptions of the violated guarantees; empty if all were kept.
    """
    rng = random.Random(plan.seed)
    plan.folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(plan.folder, plan.size)
    callers = SimulatedCallers(deployment, random.Random(plan.seed + 1))
    deployment.start()
    probes: list[Probe] = []
    try:
        _wait_for_start(callers)
        assert deployment.operator is not None
        for number, address in enumerate(deployment.front_addresses):
            deployment.record_disturbance("start", number, START_S)
            probe_rng = random.Random(plan.seed * 1_000 + number)
            probes.append(Probe(number, address, deployment.operator, probe_rng))
            probes[-1].start()
        start_s = time.monotonic()
        events: list[tuple[float, t.Callable[[], None]]] = []
        for offset_s, kind, target, length_s in plan_faults(plan, rng):

            def start_fault(
                kind: str = kind, target: int = target, length_s: float = length_s
            ) -> None:
                report(
                    f"{time.monotonic() - start_s:6.2f} "
                    f"{kind} {target} {length_s:.1f} s"
                )
                inject_fault(deployment, kind, target, length_s)

            events.append((offset_s, start_fault))
        for _ in range(plan.submissions):
            offset_s = rng.uniform(0, plan.seconds)
            events.append((offset_s, lambda: callers.run_in_thread(callers.submit)))
            if rng.random() < 0.2:
                events.append(
                    (offset_s + 0.5, lambda: callers.run_in_thread(callers.cancel))
                )
        if deployment.advisor is not None:
            events += _plan_bursts(deployment, callers, plan)
        for offset_s, event in sorted(events, key=lambda row: row[0]):
            time.sleep(max(0.0, start_s + offset_s - time.monotonic()))
            event()
        deployment.heal()
        callers.wait()
        violations = _check_outcomes(deployment, callers)
        violations += _check_advisor(deployment)
        for probe in probes:
            probe.stop()
        return violations + _check_probes(deployment, probes)
    finally:
        for probe in probes:
            probe.stop()
        deployment.heal()
        deployment.stop()


def _plan_bursts(
    deployment: Deployment, callers: SimulatedCallers, plan: SoakPlan
) -> list[tuple[float, t.Callable[[], None]]]:
    """Choose when many submissions go to one advised queue at once."""
    rng = random.Random(plan.seed + 2)
    events: list[tuple[float, t.Callable[[], None]]] = []
    for prefix in deployment.prefixes[1:]:
        offset_s = rng.uniform(0, plan.seconds)
        for _ in range(BURST_SUBMISSIONS):

            def submit(prefix: str = prefix) -> None:
                callers.run_in_thread(lambda: callers.submit(prefix))

            events.append((offset_s, submit))
        events.append((offset_s + 0.5, lambda: callers.run_in_thread(callers.cancel)))
    return events


def _check_advisor(deployment: Deployment) -> list[str]:
    """Check that no process has filled the advisor's queue."""
    advisor = deployment.advisor
    if advisor is None or not advisor.count_by_status[429]:
        return []
    return [
        f"the advisor refused {advisor.count_by_status[429]} calls, with up to "
        f"{advisor.largest_waiting} waiting"
    ]


def _check_probes(deployment: Deployment, probes: t.Sequence[Probe]) -> list[str]:
    assert deployment.operator is not None
    results = [result for probe in probes for result in probe.results]
    late = find_late_configurations(
        deployment.operator.versions,
        results,
        lambda node, start_s, end_s: bool(
            deployment.find_disturbances(node, start_s, end_s)
        ),
    )
    cut = find_cut_requests(
        results,
        lambda node, start_s, end_s: (
            deployment.find_disturbances(node, start_s - STABLE_WINDOW_S, end_s)
            == {"node-stop"}
        ),
    )
    return late + cut


def _wait_for_start(callers: SimulatedCallers) -> None:
    deadline_s = time.monotonic() + STARTUP_TIMEOUT_S
    while time.monotonic() < deadline_s:
        callers.submit()
        if callers.submissions[-1].accepted:
            return
        time.sleep(0.2)
    callers.violations.append(f"no submission accepted within {STARTUP_TIMEOUT_S} s")


def _check_outcomes(deployment: Deployment, callers: SimulatedCallers) -> list[str]:
    deadline_s = time.monotonic() + COMPLETION_TIMEOUT_S
    unfinished = [c for c in callers.submissions if c.accepted]
    while unfinished and time.monotonic() < deadline_s:
        unfinished = [
            c for c in unfinished if callers.query_state(c) not in FINAL_STATES
        ]
        time.sleep(0.2)
    violations = list(callers.violations)
    violations += [
        f"{c.submission_id} has not ended: {c.states[-1:] or 'no answer'}"
        for c in unfinished
    ]
    platform = deployment.platform
    with platform.lock:
        violations += platform.fleet.violations
        started = {task.partition(".")[0] for task in platform.fleet.started_tasks}
    for submission in callers.submissions:
        if not submission.accepted and not submission.possibly_accepted:
            if submission.submission_id in started:
                violations.append(f"{submission.submission_id} was refused, but ran")
        if submission.withdrawn and submission.submission_id in started:
            violations.append(f"{submission.submission_id} was withdrawn, but ran")
    return violations
