"""``cranberrywheel-entry``: runs an entry instance."""

import signal

from absl import logging
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

import cranberrywheel
from cranberrywheel.errors import SettingsError
from cranberrywheel.process.entry import Entry
from cranberrywheel.settings import load_entry_settings

USAGE = 2


class EntryCommand(Command):
    name = "entry"
    description = "Run an entry instance until SIGTERM."
    help = "Example: cranberrywheel-entry --settings /etc/cranberrywheel/entry.ini"
    options = [option("settings", None, "INI file with the settings.", flag=False)]

    def handle(self) -> int:
        path = self.option("settings")
        if not path:
            self.line_error("<error>No settings file. Give --settings FILE.</error>")
            return USAGE
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        try:
            entry = Entry(load_entry_settings(path))
        except SettingsError as error:
            self.line_error(f"<error>{error}</error>")
            return USAGE
        except OSError as error:
            self.line_error(f"<error>Cannot listen: {error}. Check the port.</error>")
            return 1
        signal.signal(signal.SIGTERM, lambda *_: entry.request_stop())
        signal.signal(signal.SIGINT, lambda *_: entry.request_stop())
        entry.run()
        return 0


def main() -> None:
    """Run the program."""
    application = Application("cranberrywheel-entry", cranberrywheel.__version__)
    command = EntryCommand()
    application.add(command)
    application._default_command = command.name
    application._single_command = True
    raise SystemExit(application.run())


if __name__ == "__main__":
    main()
