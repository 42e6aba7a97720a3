"""``cranberrywheel-planner``: plans capacity and maintenance of one zone."""

import sys
import threading
import typing as t

from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.process.planner import Planner
from cranberrywheel.process.worker_reports import WorkerClient
from cranberrywheel.programs.console import DaemonCommand, run_daemon
from cranberrywheel.settings import load_planner_settings


class PlannerCommand(DaemonCommand):
    name = "planner"
    description = "Plan capacity and maintenance of one availability zone."
    help = "Example: cranberrywheel-planner --settings /etc/cranberrywheel/planner.ini"

    def build_daemon(
        self, path: str
    ) -> tuple[t.Callable[[], None], t.Callable[[], None]]:
        settings = load_planner_settings(path)
        stop = threading.Event()

        def run() -> None:
            client, workers = StoreClient(settings.platform), WorkerClient()
            Planner(settings, client, workers).run(stop)
            workers.close()
            client.close()

        return run, stop.set


def main() -> int:
    """Run the command line; returns the exit code."""
    return run_daemon("cranberrywheel-planner", PlannerCommand())


if __name__ == "__main__":
    sys.exit(main())
