"""``cranberrywheel plan``: what would move or be maintained, and why not yet."""

import time
import typing as t

from cranberrywheel.connection.store_client import Instance, InstanceList
from cranberrywheel.process.fleet_model import Plan
from cranberrywheel.process.waves import plan_preview
from cranberrywheel.programs.operator_command import (
    ENTRY,
    FILE,
    JSON,
    TOKEN_FILE,
    OperatorCommand,
    read_configuration,
)
from cranberrywheel.version.configuration import Configuration

#: Instances listed by name; the JSON output has all of them.
MAX_LISTED = 20


def current_plan(
    configuration: Configuration, fleet: t.Mapping[str, t.Any], now_ms: int
) -> Plan:
    """Compute the plan for a fleet as an entry instance described it.

    :param fleet: answer of ``GET /v1/fleet``, or an empty mapping.
    :param now_ms: wall clock in milliseconds; 0 shows a full round.
    """
    listed = fleet.get("instance_list", {})
    rows = tuple(Instance(**row) for row in listed.get("instances", ()))
    instances = InstanceList(listed.get("revision", 0), listed.get("age_ms", 0), rows)
    return plan_preview(
        configuration, fleet.get("pools_by_zone", {}), instances, now_ms
    )


def plan_lines(plan: Plan) -> t.Iterator[str]:
    """Return a plan as text for operators."""
    for name, state in sorted(plan.wave.items()):
        yield f"in the wave: {name} is {state}"
    for name, target in sorted(plan.take.items()):
        yield f"next: {name} moves to {target}" if target else f"next: {name} reboots"
    for name in plan.quarantine:
        yield f"quarantine: {name}"
    for name in plan.repair:
        yield f"repair: {name}"
    for name in plan.recall:
        yield f"recall: {name}"
    waits = sorted(plan.waits_by_name.items())
    for name, reason in waits[:MAX_LISTED]:
        yield f"waits: {name}: {reason}"
    if len(waits) > MAX_LISTED:
        yield f"waits: {len(waits) - MAX_LISTED} more; --json lists them"
    for risk in plan.risks:
        yield f"risk: {risk}"


class PlanCommand(OperatorCommand):
    name = "plan"
    description = "Show what a text would move and maintain, without doing it."
    help = "Example: cranberrywheel plan fleet.ini"
    arguments = [FILE]
    options = [ENTRY, TOKEN_FILE, JSON]

    def work(self) -> int:
        _, configuration = read_configuration(self.argument("file"))
        fleet: dict[str, t.Any] = {}
        now_ms = 0
        if self.option("entry"):
            fleet = self.first_answer("GET", "/v1/fleet")
            now_ms = time.time_ns() // 1_000_000
        plan = current_plan(configuration, fleet, now_ms)
        lines = [
            f"pool {pool}: {sum(zones.values())} workers, "
            f"up to {plan.sizing.wave_sizes_by_pool[pool]} out at once"
            for pool, zones in sorted(plan.sizing.counts.items())
        ]
        self.show_result(plan.to_json(), [*lines, *plan_lines(plan)])
        return 0
