"""``cranberrywheel-node``: runs one node process on the users' platform."""

import os
import sys

from absl import flags, logging

from cranberrywheel.errors import SettingsError
from cranberrywheel.logs import log_to_stdout
from cranberrywheel.node.node import METRICS_PORT, Node
from cranberrywheel.platform.settings import load_settings
from cranberrywheel.programs.exit_codes import EXIT_OK, EXIT_USAGE

#: Environment variable that overrides the metrics port, so that several nodes can
#: run on one address.
METRICS_PORT_VARIABLE = "CRANBERRYWHEEL_METRICS_PORT"


def main() -> int:
    """Run a node with the settings that the platform provides.

    :returns: ``EXIT_USAGE`` if the settings are invalid; otherwise the process exits
        from here with ``EXIT_OK``.
    """
    flags.FLAGS(["cranberrywheel-node"])
    logging.set_verbosity(logging.INFO)
    stop_logs = log_to_stdout()
    try:
        port = int(os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT))
        Node(load_settings(), port).run()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    finally:
        stop_logs()
    # os._exit, because threads of callers that still wait for an answer would delay a
    # regular exit.
    os._exit(EXIT_OK)


if __name__ == "__main__":
    sys.exit(main())
