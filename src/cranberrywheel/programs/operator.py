"""``cranberrywheel``: the operators' command line."""

import json
import sys
import time
import typing as t

from cleo.application import Application
from cleo.helpers import argument, option
from returns.result import Success

import cranberrywheel
from cranberrywheel.programs.console import REFUSED, run_application
from cranberrywheel.programs.operator_client import EntryClient, OperatorCallError
from cranberrywheel.programs.operator_command import (
    ENTRY,
    FILE,
    JSON,
    TOKEN_FILE,
    OperatorCommand,
    read_configuration,
)
from cranberrywheel.programs.plan_command import PlanCommand, current_plan, plan_lines
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.differences import list_differences

WAIT_S = 10.0
POLL_S = 0.2


class CheckCommand(OperatorCommand):
    name = "check"
    description = "Validate a text without applying it."
    help = "Example: cranberrywheel check fleet.ini"
    arguments = [FILE]
    options = [JSON]

    def work(self) -> int:
        _, configuration = read_configuration(self.argument("file"))
        counts = {
            "zones": len(configuration.regions_by_zone),
            "pools": len(configuration.pools_by_name),
            "workers": len(configuration.workers_by_name),
            "services": len(configuration.services_by_name),
            "queues": len(configuration.queues_by_name),
            "teams": len(configuration.teams_by_name),
        }
        words = ", ".join(f"{count} {name}" for name, count in counts.items())
        self.show_result({"valid": True, **counts}, [f"valid: {words}"])
        return 0


def wait_until_in_force(
    clients: list[EntryClient], text_version: int
) -> tuple[dict[str, str], list[str]]:
    """Poll instances until all have a text version or the wait is over.

    :returns: zone by URL of those that have it, and the URLs of the others.
    """
    zones_by_url: dict[str, str] = {}
    deadline = time.monotonic() + WAIT_S
    while True:
        for client in clients:
            if client.url in zones_by_url:
                continue
            status = client.call("GET", "/v1/status").value_or({})
            if status.get("text_version", 0) >= text_version:
                zones_by_url[client.url] = str(status.get("zone"))
        missing = [c.url for c in clients if c.url not in zones_by_url]
        if not missing or time.monotonic() > deadline:
            return zones_by_url, missing
        time.sleep(POLL_S)


class ApplyCommand(OperatorCommand):
    name = "apply"
    description = "Apply a text and wait until it is in force."
    help = "Example: cranberrywheel apply fleet.ini --entry http://10.0.0.1:8000"
    arguments = [FILE]
    options = [
        ENTRY,
        TOKEN_FILE,
        option("expect", None, "Text version that you edited.", flag=False),
        JSON,
    ]

    def work(self) -> int:
        text, configuration = read_configuration(self.argument("file"))
        shown = self.first_answer("GET", "/v1/configuration")
        old = parse_configuration(shown["text"]) if shown["text"] else None
        changes = list_differences(old, configuration) if old else ["first text"]
        if not self.option("json"):
            for change in changes or ["no differences"]:
                self.line(change)
        expected = self.option("expect") or str(shown["text_version"])
        answer = self.first_answer(
            "PUT", "/v1/configuration", text.encode(), f'If-Match: "{expected}"'
        )
        version = int(answer["text_version"])
        zones_by_url, missing = wait_until_in_force(self.clients(), version)
        result = {
            "text_version": version,
            "differences": changes,
            "in_force": zones_by_url,
            "not_reached": missing,
        }
        lines = [f"text version {version} accepted"]
        lines += [f"in force in {z}: {url}" for url, z in sorted(zones_by_url.items())]
        lines += [f"not reached: {url}" for url in missing]
        self.show_result(result, lines)
        return REFUSED if missing else 0


class ShowCommand(OperatorCommand):
    name = "show"
    description = "Print the text in force and the granted keys."
    help = "Example: cranberrywheel show > fleet.ini"
    options = [ENTRY, TOKEN_FILE, JSON]

    def work(self) -> int:
        shown = self.first_answer("GET", "/v1/configuration")
        lines = [f"# text version {shown['text_version']}"]
        lines += [f"# key {key['key_id']} of {key['team']}" for key in shown["keys"]]
        self.show_result(shown, [*lines, shown["text"]])
        return 0


class GrantCommand(OperatorCommand):
    name = "grant"
    description = "Create a key for a team; it is printed once."
    help = "Example: cranberrywheel grant head-office"
    arguments = [argument("team", "Team that the key is for.")]
    options = [ENTRY, TOKEN_FILE, JSON]

    def work(self) -> int:
        body = json.dumps({"team": self.argument("team")}).encode()
        answer = self.first_answer("POST", "/v1/keys", body)
        self.show_result(answer, [answer["key"]])
        return 0


class WithdrawCommand(OperatorCommand):
    name = "withdraw"
    description = "Withdraw a key by its id."
    help = "Example: cranberrywheel withdraw 4f1c22aa90b1"
    arguments = [argument("key", "Id of the key, as 'show' prints it.")]
    options = [ENTRY, TOKEN_FILE, JSON]

    def work(self) -> int:
        answer = self.first_answer("DELETE", f"/v1/keys/{self.argument('key')}")
        confirmed, rest = answer.get("confirmed", []), answer.get("unconfirmed", [])
        stored = bool(answer.get("stored"))
        lines = ["withdrawn in the store" if stored else "the store is unavailable"]
        lines += [f"confirmed by {name}" for name in confirmed]
        lines += [
            f"not confirmed by {name}; it stops authenticated requests within the "
            "freshness bound unless it has the withdrawal by then"
            for name in rest
        ]
        self.show_result(answer, lines)
        # A mark alone must reach every entry: one that reads the store would take the
        # key as granted. A stored withdrawal needs a second entry that knows it, or
        # it is missed if its only holder dies as the store goes down.
        complete = not rest or (stored and len(confirmed) > 1)
        return 0 if complete else REFUSED


class StatusCommand(OperatorCommand):
    name = "status"
    description = "Print pools, teams and the version in force per instance."
    help = "Example: cranberrywheel status --json"
    options = [ENTRY, TOKEN_FILE, JSON]

    def work(self) -> int:
        statuses: dict[str, t.Any] = {}
        for client in self.clients():
            statuses[client.url] = (
                client.call("GET", "/v1/status")
                .lash(lambda error: Success({"error": error.message}))
                .unwrap()
            )
        lines = [*_status_lines(statuses), *self._wave_lines()]
        self.show_result(statuses, lines)
        return REFUSED if any("error" in s for s in statuses.values()) else 0

    def _wave_lines(self) -> list[str]:
        """Return the current wave, as far as an instance can describe it."""
        try:
            fleet = self.first_answer("GET", "/v1/fleet")
            shown = self.first_answer("GET", "/v1/configuration")
        except OperatorCallError:
            return []
        if not shown["text"]:
            return []
        configuration = parse_configuration(shown["text"])
        now_ms = time.time_ns() // 1_000_000
        return list(plan_lines(current_plan(configuration, fleet, now_ms)))


def _status_lines(statuses: dict[str, t.Any]) -> t.Iterator[str]:
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
            words = ", ".join(f"{n} {state}" for state, n in sorted(states.items()))
            yield f"  pool {pool}: {words}"


def main() -> int:
    """Run the command line."""
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
