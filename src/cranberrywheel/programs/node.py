"""``cranberrywheel-node``: runs one node process on the users' platform."""

import os
import sys

from absl import flags, logging

from cranberrywheel.errors import SettingsError
from cranberrywheel.logs import log_to_stdout
from cranberrywheel.node.node import METRICS_PORT, Node
from cranberrywheel.platform.settings import load_settings
from cranberrywheel.programs.exit_codes import EXIT_OK, EXIT_USAGE
from cranberrywheel.settings import load_feature_settings
from cranberrywheel.submission.features import FeatureSettings

#: Environment variable that overrides the metrics port, so that several nodes can
#: run on one address.
METRICS_PORT_VARIABLE = "CRANBERRYWHEEL_METRICS_PORT"

_SETTINGS_FILE = flags.DEFINE_string(
    "settings",
    "",
    "INI file with the switches of the scheduler, such as deploy/node.ini; without it "
    "each switch is auto. Example: cranberrywheel-node --settings deploy/node.ini",
)


def main() -> int:
    """Run a node with the settings that the platform provides.

    :returns: ``EXIT_USAGE`` if the settings are invalid; otherwise the process exits
        from here with ``EXIT_OK``.
    """
    try:
        unknown = flags.FLAGS(sys.argv)[1:]
    except flags.Error as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if unknown:
        print(f"unexpected argument {unknown[0]!r}; see --help", file=sys.stderr)
        return EXIT_USAGE
    logging.set_verbosity(logging.INFO)
    stop_logs = log_to_stdout()
    try:
        port = int(os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT))
        switches = FeatureSettings()
        if _SETTINGS_FILE.value:
            switches = load_feature_settings(_SETTINGS_FILE.value)
        Node(load_settings(), switches, port).run()
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
