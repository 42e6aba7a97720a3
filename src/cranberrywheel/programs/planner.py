"""``cranberrywheel-planner``: capacity and maintenance of one availability zone."""

import argparse
import signal
import sys
import threading
import typing as t

from absl import logging

from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.errors import SettingsError
from cranberrywheel.process.planner import Planner
from cranberrywheel.process.worker_reports import Workers
from cranberrywheel.settings import load_planner_settings


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run the planner until SIGTERM or SIGINT.

    :param arguments: command line without the program's name.
    :returns: 0, or 2 if the settings are refused.
    """
    parser = argparse.ArgumentParser(
        prog="cranberrywheel-planner",
        description="Plan capacity and maintenance of one availability zone.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    path = parser.parse_args(arguments).settings
    try:
        settings = load_planner_settings(path)
    except SettingsError as error:
        print(f"{error.message}\n{error.remedy}", file=sys.stderr)
        return 2
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    client, workers = StoreClient(settings.platform), Workers()
    Planner(settings, client, workers).run(stop)
    workers.close()
    client.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
