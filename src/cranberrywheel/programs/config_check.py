"""``cranberrywheel-config``: check of the configuration for the platform's store."""

import dataclasses
import io
import json
import sys
import typing as t

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

import cranberrywheel
from cranberrywheel.configuration_check.differences import list_differences
from cranberrywheel.configuration_check.entries import (
    ConfigurationEntries,
    MachineList,
)
from cranberrywheel.configuration_check.findings import (
    Difference,
    Finding,
    Severity,
    quote,
)
from cranberrywheel.configuration_check.rules import describe_faults, find_all
from cranberrywheel.platform.configuration import (
    ConfigurationFormatError,
    decode_entries,
)
from cranberrywheel.platform.machines import MachineListFormatError, decode_machine_list
from cranberrywheel.programs.console import run_application
from cranberrywheel.programs.exit_codes import EXIT_OK, EXIT_USAGE

#: Bad usage and errors have the same exit code: in both cases nothing may be sent.
EXIT_WARNINGS, EXIT_ERRORS = 1, EXIT_USAGE
STANDARD_INPUT = "-"

_Decoded = t.TypeVar("_Decoded")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a check.

    :param differences: ``None`` if there is no version to compare with, or if one of
        the two cannot be decoded.
    """

    findings: list[Finding]
    differences: list[Difference] | None = None

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(found.severity is severity for found in self.findings)

    @property
    def exit_code(self) -> int:
        """Exit code of the command."""
        if self.count(Severity.ERROR):
            return EXIT_ERRORS
        return EXIT_WARNINGS if self.findings else EXIT_OK

    def build_json(self) -> dict[str, t.Any]:
        """Return the report as a JSON value."""
        return {
            "errors": self.count(Severity.ERROR),
            "warnings": self.count(Severity.WARNING),
            "findings": [
                {**dataclasses.asdict(found), "severity": found.severity.value}
                for found in self.findings
            ],
            "differences": self.differences
            and [dataclasses.asdict(difference) for difference in self.differences],
        }

    def format_lines(self) -> t.Iterator[str]:
        """Format the report as text."""
        for found in self.findings:
            yield f"{found.severity.value}: {found.place}: {found.message}"
            yield f"    remedy: {found.remedy}"
        for difference in self.differences or ():
            yield f"changed: {difference.place}: {difference.change}"
            yield f"    effect: {difference.effect}"
        if self.differences is not None and not self.differences:
            yield "no differences from the version in force"
        yield (
            f"{self.count(Severity.ERROR)} errors, "
            f"{self.count(Severity.WARNING)} warnings"
        )


def check_configuration(
    value: bytes, in_force: bytes | None = None, machines: bytes | None = None
) -> Report:
    """Check a configuration.

    :param value: the configuration.
    :param in_force: the version in force; ``None`` if it is not known.
    :param machines: the platform's list of machines; ``None`` if it is not known.
    """
    faults: list[Finding] = []

    def decode(
        name: str, text: bytes | None, decoder: t.Callable[[bytes], _Decoded]
    ) -> _Decoded | None:
        if text is None:
            return None
        try:
            return decoder(text)
        except (ConfigurationFormatError, MachineListFormatError) as error:
            faults.extend(describe_faults(name, error.faults))
            return None

    entries: ConfigurationEntries | None = decode(
        "configuration", value, decode_entries
    )
    old: ConfigurationEntries | None = decode("--in-force", in_force, decode_entries)
    machine_list: MachineList | None = decode(
        "--machines", machines, decode_machine_list
    )
    if entries is None:
        return Report(faults)
    return Report(
        [*faults, *find_all(entries, old, machine_list)],
        None if old is None else list_differences(old, entries),
    )


def _read(path: str) -> bytes:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    with open(path, "rb") as file:
        return file.read()


class CheckCommand(Command):
    name = "check"
    description = "Check a configuration (op/config) before it is sent."
    help = (
        "Example: cranberrywheel-config check new.json --in-force now.json "
        "--machines machines.json\n\n"
        "Exit codes: 0 clean, 1 warnings, 2 errors or bad usage."
    )
    arguments = [argument("file", "Path of the configuration; - for standard input.")]
    options = [
        option("in-force", None, "Configuration in force, to compare.", flag=False),
        option("machines", None, "Answer of /api/machines in a file.", flag=False),
        option("json", None, "Print the result as JSON."),
    ]

    def handle(self) -> int:
        paths = [self.argument("file"), self.option("in-force")]
        paths.append(self.option("machines"))
        if paths.count(STANDARD_INPUT) > 1:
            return self._refuse("Standard input is named twice.", "Give a file.")
        values: list[bytes | None] = []
        for path in paths:
            try:
                values.append(None if path is None else _read(path))
            except (OSError, ValueError) as error:
                message = f"{quote(path)} cannot be read: {error}."
                return self._refuse(message, "Check the path.")
        value, in_force, machines = values
        assert value is not None
        report = check_configuration(value, in_force, machines)
        if self.option("json"):
            self._print(json.dumps(report.build_json()))
        else:
            for line in report.format_lines():
                self._print(line)
        return report.exit_code

    def _print(self, line: str) -> None:
        # Names in the configuration must not be read as markup of the output.
        self.io.write_line(line, type=Type.RAW)

    def _refuse(self, message: str, remedy: str) -> int:
        if self.option("json"):
            self._print(json.dumps({"error": message, "remedy": remedy}))
        else:
            self.io.write_error_line(f"{message} {remedy}", type=Type.RAW)
        return EXIT_USAGE


def main() -> int:
    """Run the command line; returns the exit code."""
    for stream in (sys.stdout, sys.stderr):
        # Names may have characters that the terminal's encoding lacks.
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(errors="backslashreplace")
    application = Application("cranberrywheel-config", cranberrywheel.__version__)
    application.add(CheckCommand())
    return run_application(application)


if __name__ == "__main__":
    sys.exit(main())
