"""Base of the operators' commands: options, entry instances, output and errors."""

import json
import os
import typing as t

from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.pipeline import is_successful

from cranberrywheel.errors import ConfigurationError, CranberrywheelError
from cranberrywheel.programs.console import EXIT_REFUSED
from cranberrywheel.programs.operator_client import EntryClient, OperatorCallError
from cranberrywheel.version.configuration import Configuration, parse_configuration

ENTRY_OPTION = option(
    "entry",
    "e",
    "URL of an entry instance; repeat the option to name several.",
    flag=False,
    multiple=True,
)
TOKEN_FILE_OPTION = option(
    "token-file",
    None,
    "File with the operators' token; default: CRANBERRYWHEEL_TOKEN_FILE.",
    flag=False,
)
JSON_OPTION = option("json", None, "Print the result as JSON.")
FILE_ARGUMENT = argument("file", "Path of the configuration text.")


def read_configuration(path: str) -> tuple[str, Configuration]:
    """Read and validate a configuration text.

    :param path: path of the file.
    :returns: the text and the configuration parsed from it.
    :raises ConfigurationError: if the file cannot be read or the text is invalid.
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
    """Base class of commands: calls entry instances, prints results and errors."""

    def handle(self) -> int:
        try:
            return self.run_command()
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
            return EXIT_REFUSED

    def run_command(self) -> int:
        """Run the command.

        :returns: the exit code.
        :raises CranberrywheelError: if it fails; :meth:`handle` prints the error.
        """
        raise NotImplementedError

    def build_clients(self) -> list[EntryClient]:
        """Build a client for each instance that ``--entry`` names.

        Options that are not given default to the environment variables
        ``CRANBERRYWHEEL_ENTRY`` and ``CRANBERRYWHEEL_TOKEN_FILE``.

        :raises OperatorCallError: if no instance or no readable token file is named.
        """
        urls = (
            self.option("entry") or os.environ.get("CRANBERRYWHEEL_ENTRY", "").split()
        )
        path = self.option("token-file") or os.environ.get(
            "CRANBERRYWHEEL_TOKEN_FILE", ""
        )
        if not urls or not path:
            raise OperatorCallError(
                "No entry instance or no token file is given.",
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

    def call_first_reachable(
        self, method: str, path: str, body: bytes | None = None, *headers: str
    ) -> dict[str, t.Any]:
        """Call the instances in turn until one answers.

        :returns: the JSON object of the answer.
        :raises OperatorCallError: if an instance refuses the call, or the last one
            cannot be reached.
        """
        last_error: OperatorCallError | None = None
        for client in self.build_clients():
            result = client.call(method, path, body, headers)
            if is_successful(result):
                return result.unwrap()
            last_error = result.failure()
            if last_error.status:
                raise last_error
        assert last_error is not None
        raise last_error

    def print_result(self, result: t.Any, lines: t.Iterable[str]) -> None:
        """Print a result as JSON if ``--json`` is given, otherwise as text.

        :param result: JSON value.
        :param lines: the text form.
        """
        if self.option("json"):
            self.line(json.dumps(result))
        else:
            for line in lines:
                self.line(line)
