"""Command line of the stand-ins: ``cranberrywheel-standin``."""

import dataclasses
import json
import signal
import sys
import threading
import typing as t

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from cranberrywheel_standin.history import (
    HistoryWriter,
    build_state_recorder,
    build_task_recorder,
    build_write_recorder,
)
from cranberrywheel_standin.http_call import NoAnswerError, call_json
from cranberrywheel_standin.platform import Platform, PlatformApp
from cranberrywheel_standin.serving import Server
from cranberrywheel_standin.worker import Task, Worker, WorkerConfig
from cranberrywheel_standin.worker_app import WorkerApp

SIGNAL_POLL_INTERVAL_S = 0.2


def send_worker_action(address: str, action: str) -> None:
    """Send a drain, undrain or reboot to a worker.

    If the worker does not answer, this is only logged: the platform has accepted the
    action, and the planner reads the state of the worker itself.
    """
    try:
        call_json("POST", f"http://{address}/v1/control/{action}", {})
    except NoAnswerError as error:
        print(f"worker {address} did not answer {action}: {error}", file=sys.stderr)


def _wait_for_signal() -> None:
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    # A wait without a time limit would miss a signal that another thread received.
    while not stopped.wait(SIGNAL_POLL_INTERVAL_S):
        pass


class PlatformCommand(Command):
    """Runs the platform stand-in."""

    name = "platform"
    description = "Run the key-value service and the instance list."
    options = [
        option(
            "host", None, "IP address to listen on.", flag=False, default="127.0.0.1"
        ),
        option(
            "port",
            None,
            "Port to listen on; 0 picks a free one.",
            flag=False,
            default="0",
        ),
        option(
            "history",
            None,
            "History file for store records and instance states.",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        history = HistoryWriter(self.option("history") or "")
        platform = Platform(
            on_write=build_write_recorder(history),
            on_state=build_state_recorder(history),
        )
        app = PlatformApp(platform, send_worker_action)
        server = Server(self.option("host"), int(self.option("port")), app)
        server.start()
        print(f"platform listening on {server.address}", flush=True)
        _wait_for_signal()
        return 0


def load_worker_configs(path: str) -> list[WorkerConfig]:
    """Read a JSON list of workers with the fields of ``WorkerConfig``."""
    with open(path, encoding="utf-8") as file:
        return [WorkerConfig(**row) for row in json.load(file)]


def start_worker(
    config: WorkerConfig,
    platform_url: str,
    record: t.Callable[[str, str, Task], None],
    checkpoints: dict[str, float],
) -> Server:
    """Start one worker and register it in the platform's instance list.

    :param platform_url: base URL of the platform; empty to skip the registration.
    """
    worker = Worker(config, record=record, checkpoints=checkpoints)
    server = Server(config.host, config.port, WorkerApp(worker))
    server.start()
    if platform_url:
        row = {
            "kind": "worker",
            "zone": config.zone,
            "rack": config.rack,
            "address": server.address,
            "addresses": dict(config.addresses),
            "state": "live",
            "cores": config.cores,
            "memory_mb": config.memory_mb,
        }
        call_json("PUT", f"{platform_url}/v1/instances/{config.name}", row)
    return server


class WorkerCommand(Command):
    """Runs worker stand-ins."""

    name = "worker"
    description = "Run one worker, or all workers of a JSON file."
    options = [
        option("config", None, "JSON file with a list of workers.", flag=False),
        option("platform", None, "Base URL of the platform.", flag=False, default=""),
        option("history", None, "History file for task events.", flag=False),
        *(
            option(
                field.name.replace("_", "-"),
                None,
                "Field of a single worker; see --config.",
                False,
            )
            for field in dataclasses.fields(WorkerConfig)
            if field.name not in ("name", "addresses")
        ),
        option("name", None, "Name of a single worker.", flag=False),
    ]

    def handle(self) -> int:
        checkpoints: dict[str, float] = {}
        record = build_task_recorder(HistoryWriter(self.option("history") or ""))
        for config in self._configs():
            server = start_worker(config, self.option("platform"), record, checkpoints)
            print(f"worker {config.name} listening on {server.address}", flush=True)
        print("workers ready", flush=True)
        _wait_for_signal()
        return 0

    def _configs(self) -> list[WorkerConfig]:
        if self.option("config"):
            return load_worker_configs(self.option("config"))
        values = {}
        for field in dataclasses.fields(WorkerConfig):
            if field.name == "addresses":
                continue
            text = self.option(field.name.replace("_", "-"))
            if text is not None:
                values[field.name] = t.cast(type, field.type)(text)
        return [WorkerConfig(**values)]


def main() -> None:
    """Run the command line."""
    application = Application("cranberrywheel-standin")
    application.add(PlatformCommand())
    application.add(WorkerCommand())
    application.run()


if __name__ == "__main__":
    main()
