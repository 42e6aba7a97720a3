"""Base of the console scripts: runs command lines and starts daemons."""

import signal
import sys
import typing as t

from absl import flags, logging
from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option

import cranberrywheel
from cranberrywheel.errors import SettingsError
from cranberrywheel.programs.exit_codes import EXIT_OK, EXIT_REFUSED, EXIT_USAGE


def run_application(application: Application) -> int:
    """Run a command line.

    :returns: the exit code; ``EXIT_USAGE`` for unknown commands and options.
    """
    application.catch_exceptions(False)
    application.auto_exits(False)
    try:
        return application.run()
    except CleoError as error:
        print(f"{error} Use --help.", file=sys.stderr)
        return EXIT_USAGE


class DaemonCommand(Command):
    """Base class of daemon commands.

    Reads ``--settings`` and stops the daemon on SIGTERM or SIGINT.
    """

    options = [option("settings", None, "INI file with the settings.", flag=False)]

    def build_daemon(
        self, path: str
    ) -> tuple[t.Callable[[], None], t.Callable[[], None]]:
        """Load the settings and build the daemon without starting it.

        :param path: path of the INI settings file.
        :returns: a function that runs the daemon until it stops, and a function that
            requests the stop.
        :raises SettingsError: if the settings are missing or invalid.
        :raises OSError: if an address cannot be bound; the first returned function
            may raise it too.
        """
        raise NotImplementedError

    def handle(self) -> int:
        path = self.option("settings")
        if not path:
            self.line_error("<error>No settings file. Give --settings FILE.</error>")
            return EXIT_USAGE
        flags.FLAGS([self.name or ""])
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        logging.set_stderrthreshold("info")
        try:
            run, request_stop = self.build_daemon(path)
            for number in (signal.SIGTERM, signal.SIGINT):
                signal.signal(number, lambda *_: request_stop())
            run()
        except SettingsError as error:
            self.line_error(f"<error>{error}</error>")
            return EXIT_USAGE
        except OSError as error:
            self.line_error(f"<error>Cannot listen: {error}. Check the port.</error>")
            return EXIT_REFUSED
        return EXIT_OK


class _SingleCommandApplication(Application):
    """Application with one command, whose name is not given on the command line."""

    def __init__(self, name: str, command: Command) -> None:
        super().__init__(name, cranberrywheel.__version__)
        self.add(command)
        self._default_command = command.name or "list"
        self._single_command = True


def run_daemon(name: str, command: DaemonCommand) -> int:
    """Run the command line of a daemon.

    :param name: program name shown in the help.
    :returns: the exit code.
    """
    return run_application(_SingleCommandApplication(name, command))
