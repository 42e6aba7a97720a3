"""``cranberrywheel-node``: runs one process on the users' platform."""

import os
import sys

from absl import flags, logging

from cranberrywheel.errors import SettingsError
from cranberrywheel.logs import log_to_stdout
from cranberrywheel.node.node import METRICS_PORT, Node
from cranberrywheel.platform.settings import load_settings
from cranberrywheel.programs.exit_codes import OK, USAGE

#: Overrides the port of the metrics, for several nodes on one address.
METRICS_PORT_VARIABLE = "CRANBERRYWHEEL_METRICS_PORT"


def main() -> int:
    """Run the program; the platform's settings file says how."""
    flags.FLAGS(["cranberrywheel-node"])
    logging.set_verbosity(logging.INFO)
    stop_logs = log_to_stdout()
    try:
        port = int(os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT))
        Node(load_settings(), port).run()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return USAGE
    finally:
        stop_logs()
    # Threads of callers that wait for an answer must not hold up the exit.
    os._exit(OK)


if __name__ == "__main__":
    sys.exit(main())
