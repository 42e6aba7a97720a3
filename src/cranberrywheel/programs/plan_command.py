"""``cranberrywheel plan``: previews pool moves and maintenance.

The preview also states why an instance is not moved or maintained yet.
"""

import time
import typing as t

from cranberrywheel.connection.store_client import Instance, InstanceList
from cranberrywheel.process.fleet_model import Plan
from cranberrywheel.process.waves import plan_preview
from cranberrywheel.programs.operator_command import (
    ENTRY_OPTION,
    FILE_ARGUMENT,
    JSON_OPTION,
    TOKEN_FILE_OPTION,
    OperatorCommand,
    read_configuration,
)
from cranberrywheel.version.configuration import Configuration

#: Waiting instances in the text output; the JSON output lists all of them.
MAX_WAITS_SHOWN = 20


def compute_plan(
    configuration: Configuration, fleet: t.Mapping[str, t.Any], now_ms: int
) -> Plan:
    """Compute the plan for a configuration and the state of its fleet.

    :param fleet: answer of ``GET /v1/fleet``, or an empty mapping for a fleet whose
        state is unknown.
    :param now_ms: wall clock in milliseconds; 0 plans a full maintenance round.
    """
    listed = fleet.get("instance_list", {})
    rows = tuple(Instance(**row) for row in listed.get("instances", ()))
    instances = InstanceList(listed.get("revision", 0), listed.get("age_ms", 0), rows)
    return plan_preview(
        configuration, fleet.get("pools_by_zone", {}), instances, now_ms
    )


def format_plan(plan: Plan) -> t.Iterator[str]:
    """Return a plan as lines of text for operators."""
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
    for name, reason in waits[:MAX_WAITS_SHOWN]:
        yield f"waits: {name}: {reason}"
    if len(waits) > MAX_WAITS_SHOWN:
        yield f"waits: {len(waits) - MAX_WAITS_SHOWN} more; --json lists them"
    for risk in plan.risks:
        yield f"risk: {risk}"


class PlanCommand(OperatorCommand):
    name = "plan"
    description = (
        "Preview moves and maintenance of a configuration text; changes nothing."
    )
    help = "Example: cranberrywheel plan fleet.ini"
    arguments = [FILE_ARGUMENT]
    options = [ENTRY_OPTION, TOKEN_FILE_OPTION, JSON_OPTION]

    def run_command(self) -> int:
        _, configuration = read_configuration(self.argument("file"))
        fleet: dict[str, t.Any] = {}
        now_ms = 0
        if self.option("entry"):
            fleet = self.call_first_reachable("GET", "/v1/fleet")
            now_ms = time.time_ns() // 1_000_000
        plan = compute_plan(configuration, fleet, now_ms)
        lines = [
            f"pool {pool}: {sum(zones.values())} workers, "
            f"up to {plan.sizing.wave_sizes_by_pool[pool]} out at once"
            for pool, zones in sorted(plan.sizing.counts.items())
        ]
        self.print_result(plan.to_json(), [*lines, *format_plan(plan)])
        return 0
