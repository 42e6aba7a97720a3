"""What the operators' commands share: options, instances, output and errors."""

import json
import os
import typing as t

from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.pipeline import is_successful

from cranberrywheel.errors import ConfigurationError, CranberrywheelError
from cranberrywheel.programs.console import REFUSED
from cranberrywheel.programs.operator_client import EntryClient, OperatorCallError
from cranberrywheel.version.configuration import Configuration, parse_configuration

ENTRY = option(
    "entry",
    "e",
    "URL of an entry instance; repeat it for each.",
    flag=False,
    multiple=True,
)
TOKEN_FILE = option(
    "token-file",
    None,
    "File with the operators' token; default from CRANBERRYWHEEL_TOKEN_FILE.",
    flag=False,
)
JSON = option("json", None, "Print JSON.")
FILE = argument("file", "The operators' text.")


def read_configuration(path: str) -> tuple[str, Configuration]:
    """Read and validate a text file.

    :param path: path of the operators' text.
    :returns: the text and the configuration.
    :raises ConfigurationError: if it cannot be read or is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            f"{path} cannot be read: {error}.", "Check the path."
        ) from None
    return text, parse_configuration(text)


class OperatorCommand(Command):
    """Base of the commands: finds instances, prints results and errors."""

    def handle(self) -> int:
        try:
            return self.work()
        except CranberrywheelError as error:
            if self.option("json"):
                self.line(
                    json.dumps(
                        {
                            "error": error.kind,
                            "message": error.message,
                            "remedy": error.remedy,
                        }
                    )
                )
            else:
                self.line_error(f"<error>{error}</error>")
            return REFUSED

    def work(self) -> int:
        """Run the command; returns the exit code."""
        raise NotImplementedError

    def clients(self) -> list[EntryClient]:
        """Return a client per ``--entry``."""
        urls = (
            self.option("entry") or os.environ.get("CRANBERRYWHEEL_ENTRY", "").split()
        )
        path = self.option("token-file") or os.environ.get(
            "CRANBERRYWHEEL_TOKEN_FILE", ""
        )
        if not urls or not path:
            raise OperatorCallError(
                "No entry instance or no token file is named.",
                "Give --entry URL and --token-file FILE.",
            )
        try:
            with open(path, encoding="utf-8") as file:
                token = file.read().strip()
        except OSError as error:
            raise OperatorCallError(
                f"The token file cannot be read: {error}.", "Check --token-file."
            ) from None
        return [EntryClient(url, token) for url in urls]

    def first_answer(
        self, method: str, path: str, body: bytes | None = None, *headers: str
    ) -> dict[str, t.Any]:
        """Call the instances in turn until one can be reached."""
        problem: OperatorCallError | None = None
        for client in self.clients():
            result = client.call(method, path, body, headers)
            if is_successful(result):
                return result.unwrap()
            problem = result.failure()
            if problem.status:
                raise problem
        assert problem is not None
        raise problem

    def show_result(self, result: t.Any, lines: t.Iterable[str]) -> None:
        """Print JSON or lines, as asked."""
        if self.option("json"):
            self.line(json.dumps(result))
        else:
            for line in lines:
                self.line(line)
