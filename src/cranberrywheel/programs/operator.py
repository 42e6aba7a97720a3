"""``cranberrywheel``: the operators' command line."""

import json
import sys
import time
import typing as t

from cleo.application import Application
from cleo.helpers import argument, option
from returns.result import Success

import cranberrywheel
from cranberrywheel.programs.console import EXIT_REFUSED, run_application
from cranberrywheel.programs.operator_client import EntryClient, OperatorCallError
from cranberrywheel.programs.operator_command import (
    ENTRY_OPTION,
    FILE_ARGUMENT,
    JSON_OPTION,
    TOKEN_FILE_OPTION,
    OperatorCommand,
    read_configuration,
)
from cranberrywheel.programs.plan_command import PlanCommand, compute_plan, format_plan
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.differences import list_differences

#: Longest wait of ``apply`` for the instances to adopt the new text version.
IN_FORCE_TIMEOUT_S = 10.0
STATUS_POLL_INTERVAL_S = 0.2


class CheckCommand(OperatorCommand):
    name = "check"
    description = "Validate a configuration text without applying it."
    help = "Example: cranberrywheel check fleet.ini"
    arguments = [FILE_ARGUMENT]
    options = [JSON_OPTION]

    def run_command(self) -> int:
        _, configuration = read_configuration(self.argument("file"))
        counts = {
            "zones": len(configuration.regions_by_zone),
            "pools": len(configuration.pools_by_name),
            "workers": len(configuration.workers_by_name),
            "services": len(configuration.services_by_name),
            "queues": len(configuration.queues_by_name),
            "teams": len(configuration.teams_by_name),
        }
        summary = ", ".join(f"{count} {name}" for name, count in counts.items())
        self.print_result({"valid": True, **counts}, [f"valid: {summary}"])
        return 0


def wait_until_in_force(
    clients: list[EntryClient], text_version: int
) -> tuple[dict[str, str], list[str]]:
    """Poll instances until all have a text version or ``IN_FORCE_TIMEOUT_S`` is over.

    :returns: zone by URL of the instances that have the version, and the URLs of the
        others.
    """
    zones_by_url: dict[str, str] = {}
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        for client in clients:
            if client.url in zones_by_url:
                continue
            status = client.call("GET", "/v1/status").value_or({})
            if status.get("text_version", 0) >= text_version:
                zones_by_url[client.url] = str(status.get("zone"))
        missing = [client.url for client in clients if client.url not in zones_by_url]
        if not missing or time.monotonic() > deadline:
            return zones_by_url, missing
        time.sleep(STATUS_POLL_INTERVAL_S)


class ApplyCommand(OperatorCommand):
    name = "apply"
    description = "Apply a configuration text and wait until it is in force."
    help = "Example: cranberrywheel apply fleet.ini --entry http://10.0.0.1:8000"
    arguments = [FILE_ARGUMENT]
    options = [
        ENTRY_OPTION,
        TOKEN_FILE_OPTION,
        option("expect", None, "Text version that the edit started from.", flag=False),
        JSON_OPTION,
    ]

    def run_command(self) -> int:
        text, configuration = read_configuration(self.argument("file"))
        configuration_answer = self.call_first_reachable("GET", "/v1/configuration")
        old_configuration = (
            parse_configuration(configuration_answer["text"])
            if configuration_answer["text"]
            else None
        )
        changes = (
            list_differences(old_configuration, configuration)
            if old_configuration
            else ["first text"]
        )
        if not self.option("json"):
            for change in changes or ["no differences"]:
                self.line(change)
        expected = self.option("expect") or str(configuration_answer["text_version"])
        answer = self.call_first_reachable(
            "PUT", "/v1/configuration", text.encode(), f'If-Match: "{expected}"'
        )
        version = int(answer["text_version"])
        zones_by_url, missing = wait_until_in_force(self.build_clients(), version)
        result = {
            "text_version": version,
            "differences": changes,
            "in_force": zones_by_url,
            "not_reached": missing,
        }
        lines = [f"text version {version} accepted"]
        lines += [
            f"in force in {zone}: {url}" for url, zone in sorted(zones_by_url.items())
        ]
        lines += [f"not reached: {url}" for url in missing]
        self.print_result(result, lines)
        return EXIT_REFUSED if missing else 0


class ShowCommand(OperatorCommand):
    name = "show"
    description = "Print the configuration text in force and the API keys of the teams."
    help = "Example: cranberrywheel show > fleet.ini"
    options = [ENTRY_OPTION, TOKEN_FILE_OPTION, JSON_OPTION]

    def run_command(self) -> int:
        configuration_answer = self.call_first_reachable("GET", "/v1/configuration")
        lines = [f"# text version {configuration_answer['text_version']}"]
        lines += [
            f"# key {key['key_id']} of {key['team']}"
            for key in configuration_answer["keys"]
        ]
        self.print_result(configuration_answer, [*lines, configuration_answer["text"]])
        return 0


class GrantCommand(OperatorCommand):
    name = "grant"
    description = "Create an API key for a team; it is shown only once."
    help = "Example: cranberrywheel grant head-office"
    arguments = [argument("team", "Name of the team.")]
    options = [ENTRY_OPTION, TOKEN_FILE_OPTION, JSON_OPTION]

    def run_command(self) -> int:
        body = json.dumps({"team": self.argument("team")}).encode()
        answer = self.call_first_reachable("POST", "/v1/keys", body)
        self.print_result(answer, [answer["key"]])
        return 0


class WithdrawCommand(OperatorCommand):
    name = "withdraw"
    description = "Withdraw an API key."
    help = "Example: cranberrywheel withdraw 4f1c22aa90b1"
    arguments = [argument("key", "Id of the key, as printed by 'show'.")]
    options = [ENTRY_OPTION, TOKEN_FILE_OPTION, JSON_OPTION]

    def run_command(self) -> int:
        answer = self.call_first_reachable("DELETE", f"/v1/keys/{self.argument('key')}")
        confirmed, unconfirmed = (
            answer.get("confirmed", []),
            answer.get("unconfirmed", []),
        )
        stored = bool(answer.get("stored"))
        lines = ["withdrawn in the store" if stored else "the store is unavailable"]
        lines += [f"confirmed by {name}" for name in confirmed]
        lines += [
            f"not confirmed by {name}; unless it receives the withdrawal within the "
            "freshness bound, it stops serving authenticated requests"
            for name in unconfirmed
        ]
        self.print_result(answer, lines)
        # A revocation tombstone that is not in the store must reach every entry: one
        # that reads the store would still accept the key. A stored withdrawal must be
        # known to a second entry, or it is missed if the only entry that knows it dies
        # while the store is down.
        complete = not unconfirmed or (stored and len(confirmed) > 1)
        return 0 if complete else EXIT_REFUSED


class StatusCommand(OperatorCommand):
    name = "status"
    description = "Print pools, teams and the version in force of each instance."
    help = "Example: cranberrywheel status --json"
    options = [ENTRY_OPTION, TOKEN_FILE_OPTION, JSON_OPTION]

    def run_command(self) -> int:
        statuses: dict[str, t.Any] = {}
        for client in self.build_clients():
            statuses[client.url] = (
                client.call("GET", "/v1/status")
                .lash(lambda error: Success({"error": error.message}))
                .unwrap()
            )
        lines = [*_format_statuses(statuses), *self._describe_wave()]
        self.print_result(statuses, lines)
        return (
            EXIT_REFUSED
            if any("error" in status for status in statuses.values())
            else 0
        )

    def _describe_wave(self) -> list[str]:
        """Describe the current wave of moves and maintenance.

        :returns: lines of text; none if no instance can tell the fleet's state or no
            configuration text is in force.
        """
        try:
            fleet = self.call_first_reachable("GET", "/v1/fleet")
            configuration_answer = self.call_first_reachable("GET", "/v1/configuration")
        except OperatorCallError:
            return []
        if not configuration_answer["text"]:
            return []
        configuration = parse_configuration(configuration_answer["text"])
        now_ms = time.time_ns() // 1_000_000
        return list(format_plan(compute_plan(configuration, fleet, now_ms)))


def _format_statuses(statuses: dict[str, t.Any]) -> t.Iterator[str]:
    for url, status in statuses.items():
        if "error" in status:
            yield f"{url}: {status['error']}"
            continue
        yield (
            f"{url}: zone {status['zone']}, version {status['version']} (text "
            f"{status['text_version']}), {status['running']} running, "
            f"{sum(status['queued_by_service'].values())} queued"
        )
        for team, usable in sorted(status["units_usable_by_team"].items()):
            used = status["units_in_use_by_team"].get(team, 0)
            yield f"  team {team}: {used} units in use, {usable} free here"
        for pool, states in sorted(status["pools"].items()):
            summary = ", ".join(
                f"{count} {state}" for state, count in sorted(states.items())
            )
            yield f"  pool {pool}: {summary}"


def main() -> int:
    """Run the command line; returns the exit code."""
    application = Application("cranberrywheel", cranberrywheel.__version__)
    for command in (
        CheckCommand,
        ApplyCommand,
        ShowCommand,
        GrantCommand,
        WithdrawCommand,
        StatusCommand,
        PlanCommand,
    ):
        application.add(command())
    return run_application(application)


if __name__ == "__main__":
    sys.exit(main())
