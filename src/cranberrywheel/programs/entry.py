"""``cranberrywheel-entry``: runs an entry instance."""

import sys
import typing as t

from cranberrywheel.process.entry import Entry
from cranberrywheel.programs.console import DaemonCommand, run_daemon
from cranberrywheel.settings import load_entry_settings


class EntryCommand(DaemonCommand):
    name = "entry"
    description = "Run an entry instance until SIGTERM."
    help = "Example: cranberrywheel-entry --settings /etc/cranberrywheel/entry.ini"

    def build_daemon(
        self, path: str
    ) -> tuple[t.Callable[[], None], t.Callable[[], None]]:
        entry = Entry(load_entry_settings(path))
        return entry.run, entry.request_stop


def main() -> int:
    """Run the command line; returns the exit code."""
    return run_daemon("cranberrywheel-entry", EntryCommand())


if __name__ == "__main__":
    sys.exit(main())
