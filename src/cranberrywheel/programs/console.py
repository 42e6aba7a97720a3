"""What the console scripts share: exit codes and how a daemon is started."""

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
from cranberrywheel.programs.exit_codes import OK, REFUSED, USAGE


def run_application(application: Application) -> int:
    """Run a command line.

    :returns: the exit code; ``USAGE`` for unknown commands and options.
    """
    application.catch_exceptions(False)
    application.auto_exits(False)
    try:
        return application.run()
    except CleoError as error:
        print(f"{error} Use --help.", file=sys.stderr)
        return USAGE


class DaemonCommand(Command):
    """Base of the daemons: reads ``--settings`` and stops on SIGTERM or SIGINT."""

    options = [option("settings", None, "INI file with the settings.", flag=False)]

    def create(self, path: str) -> tuple[t.Callable[[], None], t.Callable[[], None]]:
        """Read the settings and build the daemon.

        :param path: settings file.
        :returns: functions that run it and that request its stop.
        :raises SettingsError: if the settings are refused.
        :raises OSError: if an address cannot be bound; ``run`` may raise it too.
        """
        raise NotImplementedError

    def handle(self) -> int:
        path = self.option("settings")
        if not path:
            self.line_error("<error>No settings file. Give --settings FILE.</error>")
            return USAGE
        flags.FLAGS([self.name or ""])
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        logging.set_stderrthreshold("info")
        try:
            run, request_stop = self.create(path)
            for number in (signal.SIGTERM, signal.SIGINT):
                signal.signal(number, lambda *_: request_stop())
            run()
        except SettingsError as error:
            self.line_error(f"<error>{error}</error>")
            return USAGE
        except OSError as error:
            self.line_error(f"<error>Cannot listen: {error}. Check the port.</error>")
            return REFUSED
        return OK


class _SingleCommandApplication(Application):
    """An application without command names, for programs with one command."""

    def __init__(self, name: str, command: Command) -> None:
        super().__init__(name, cranberrywheel.__version__)
        self.add(command)
        self._default_command = command.name or "list"
        self._single_command = True


def run_daemon(name: str, command: DaemonCommand) -> int:
    """Run a daemon's command line.

    :param name: name of the program.
    """
    return run_application(_SingleCommandApplication(name, command))
