"""Runs a small deployment of the project for the cases 6 to 10.

The node processes are those of the deploy file, started with its command. Platform and
executors are the stand-ins of :mod:`standins2`; clients call over plain HTTP.
"""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import standins2

HOST = standins2.HOST
ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ["python3", "deploy/node.py", "--settings", "deploy/node.ini"]
ROUTE_HOST = "pule25.example"
RESTART_S = 0.5
#: Bounds of the small installation `mlr-clyde`.
BOUNDS = {
    "stableWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "migrationS": 1.5,
    "maintenanceS": 2,
    "enforceFencing": False,
    "leaseDurationMs": 3000,
    "noticeMs": 4500,
}

HELD, BROKEN, NOT_RUN = 0, 1, 2


#: Name of a task, ``ID.OCCURRENCE.STEP.INDEX``.
_TASK = re.compile(r"\b([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)\b")


def format_tasks(text):
    """Write names of tasks with slashes, since parts of them look like addresses."""
    return _TASK.sub(r"\1/\2/\3/\4", text)


class NotRunError(Exception):
    """The case could not be run, so it shows nothing."""


def find_ports():
    """Yield ports of loopback addresses that are free."""
    used = set()
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            yield port


def new_id(rng=random):
    """Return the id of a new submission."""
    return f"{rng.getrandbits(64):016x}"


def build_route(prefix, service="pool", attempts=4, name=""):
    """Return a public route of the configuration."""
    return {
        "name": name or prefix.strip("/"),
        "host": ROUTE_HOST,
        "prefix": prefix,
        "type": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "service": service,
        "attempts": attempts,
        "targetFactor": 1.6,
        "public": True,
    }


class NodeProcess:
    """One process of the deploy file."""

    def __init__(self, rig, number):
        self.name = f"frontend-glasgow-a-{number + 1}"
        self._rig = rig
        ports = rig.ports
        self.front_port = next(ports)
        self.ready_port = next(ports)
        self.peer_port = next(ports)
        self.metrics_port = next(ports)
        self.process = None
        self._path = rig.folder / f"{self.name}.json"
        self.log_path = rig.folder / f"{self.name}.log"
        control = f"{HOST}:{next(ports)}"
        settings = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": HOST,
            "zone": "glasgow-a",
            "region": "scot-central",
            "zones": {"glasgow-a": "scot-central"},
            "listenAddrs": {
                "frontend": f"{HOST}:{self.front_port}",
                "ready": f"{HOST}:{self.ready_port}",
                "controlPlane": control,
            },
            "internalPorts": [self.peer_port, self.peer_port],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatIntervalMs": 1500,
            "bounds": BOUNDS,
            "controlMode": "call",
            "advisor": None,
            "platform": {
                "address": f"{HOST}:{rig.platform.store_port}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": f"{HOST}:{rig.platform.cloud_port}",
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            },
        }
        self._path.write_text(json.dumps(settings))

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CRANBERRYWHEEL_BOOT": str(self._path),
            "CRANBERRYWHEEL_METRICS_PORT": str(self.metrics_port),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._rig.note(f"{self.name} started, process {self.process.pid}")

    def kill(self):
        """Kill the process."""
        self._rig.note(f"{self.name} killed")
        self.process.kill()
        self.process.wait()

    def send_signal(self, number):
        """Send a signal to the process."""
        self._rig.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def read_memory_mb(self):
        """Return the resident memory of the process; 0 if it does not run."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) // 1024
        return 0

    def is_ready(self):
        """Tell whether the process reports itself ready."""
        status, _ = call(self.ready_port, "GET", "/api/ready", timeout_s=1)
        return status == 200


def call(port, method, path, body=None, headers=None, timeout_s=3.5):
    """Send one call.

    :returns: status and JSON body; 0 and the cause if there is no complete answer.
    """
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    fields = {"Host": ROUTE_HOST, "Cranberrywheel-Deadline-Remaining": "3000"}
    fields.update(headers or {})
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        fields["Content-Type"] = "application/json"
    try:
        connection.request(method, path, data, fields)
        answer = connection.getresponse()
        text = answer.read()
        try:
            return answer.status, json.loads(text) if text else {}
        except ValueError:
            return answer.status, {}
    except (OSError, http.client.HTTPException) as error:
        return 0, {"error": repr(error)}
    finally:
        connection.close()


class Rig:
    """A deployment, its stand-ins and the record of what happens.

    :param folder: folder of the case, in which ``record.txt`` is written.
    """

    def __init__(self, folder, nodes=3, pools=None):
        self._lock = threading.Lock()
        self._start_s = time.monotonic()
        self._record = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._temporary = tempfile.TemporaryDirectory(prefix="cw-review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.ports = find_ports()
        #: Starts and ends of runs: time, "start" or "end", task, run, executor, how.
        self.runs = []
        self.platform = standins2.Platform(
            self.ports, pools or {"pool": 4}, self._note_run
        )
        self.platform.start()
        self.store = self.platform.store
        self.nodes = [NodeProcess(self, number) for number in range(nodes)]
        self._version = 0

    def now_s(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self._start_s

    def note(self, text):
        """Write a line to the record, with readable names of tasks."""
        line = format_tasks(text)
        with self._lock:
            self._record.write(f"{self.now_s():8.3f} {line}\n")
            self._record.flush()

    def _note_run(self, kind, task, number, executor, how):
        self.runs.append((self.now_s(), kind, task, number, executor, how))
        self.note(f"run {kind} {task} {number} on {executor} {how}".rstrip())

    def configure(self, routes, services=("pool",), tenants=()):
        """Write the next version of the configuration, as the operator does."""
        self._version += 3
        value = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "enforceCapacity": True, "standby": False}
                for name in services
            ],
            "limits": {"maxBodyBytes": 262144, "idleTimeoutMs": 15000},
            "tenants": list(tenants),
        }
        data = json.dumps(value).encode()
        self.platform.do(self.store.write, {"op/config": data})
        names = ",".join(route["name"] for route in routes)
        self.note(f"configuration {self._version} acknowledged, routes {names}")

    def start(self, timeout_s=20):
        """Start all processes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        self.wait(lambda: all(node.is_ready() for node in self.nodes), timeout_s)
        self.wait(lambda: self.find_leader() is not None, timeout_s)

    def wait(self, condition, timeout_s):
        """Wait until a condition holds.

        :raises NotRunError: if it does not in time.
        """
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise NotRunError("a step of the preparation did not end in time")
            time.sleep(0.05)

    def find_leader(self):
        """Return the process that last wrote to the store under its condition."""
        value = self.platform.do(self.store.read, "cw/leader")
        if value is None:
            return None
        process = json.loads(value)["process"]
        for node in self.nodes:
            if process.startswith(node.name + "-"):
                return node
        return None

    def send(self, node, method, path, body=None, **options):
        """Send a call of a client and record its answer."""
        status, answer = call(node.front_port, method, path, body, **options)
        self.note(f"{method} {path} at {node.name}: {status} {json.dumps(answer)}")
        return status, answer

    def list_ends(self, submission_id, how):
        """Return the ends of a submission's runs of one kind."""
        return [
            row
            for row in list(self.runs)
            if row[1] == "end" and row[2].startswith(submission_id) and row[5] == how
        ]

    def list_starts(self, submission_id):
        """Return the starts of a submission's runs."""
        return [
            row
            for row in list(self.runs)
            if row[1] == "start" and row[2].startswith(submission_id)
        ]

    def close(self):
        """End all processes."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                if node.log_path.exists():
                    target = pathlib.Path(keep) / node.log_path.name
                    target.write_bytes(node.log_path.read_bytes())
        self._temporary.cleanup()
        self._record.close()


def run_case(folder, play, nodes=3, pools=None):
    """Run a case and exit with its result.

    :param play: takes the rig and whether there is trouble; returns what broke the
        rule, or ``""``.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig = Rig(folder, nodes, pools)
    code = NOT_RUN
    try:
        broken = play(rig, trouble)
        rig.note(f"rule broken: {broken}" if broken else "rule held")
        print(format_tasks(f"rule broken: {broken}") if broken else "rule held")
        code = BROKEN if broken else HELD
    except NotRunError as error:
        rig.note(f"case not run: {error}")
        print(f"case not run: {error}")
    finally:
        rig.close()
    sys.stdout.flush()
    os._exit(code)
