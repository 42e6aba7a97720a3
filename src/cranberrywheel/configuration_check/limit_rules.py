"""Rules for limits: objectives, attempts, weights and quotas."""

import itertools
import math
import typing as t
from fractions import Fraction

from cranberrywheel.configuration_check.entries import (
    ConfigurationEntries,
    ListedMachine,
    MachineList,
)
from cranberrywheel.configuration_check.findings import (
    Finding,
    build_warning,
    place_route,
    place_tenant,
    quote,
)
from cranberrywheel.submission.model import Organisation

#: Cpu assumed for a machine whose size the list does not name, in thousandths of a
#: core. A low value keeps the rule from reporting a quota that is large enough.
SMALLEST_MACHINE_CPU = 1_000


def find_contradictory_limits(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find attempts below 1, and objectives that no caller can notice.

    An objective is compared with the route's time limit by its constant part, since the
    other part depends on each submission. If that part alone is beyond the limit, a
    caller has stopped waiting for the answer before even a submission without any work
    is late, and the scheduler counts as in time what nobody waits for.
    """
    for number, (queue, attempts) in enumerate(
        zip(entries.queues, entries.written_attempts, strict=True)
    ):
        place = place_route(number, queue)
        if attempts < 1:
            yield build_warning(
                place, f"attempts is {attempts}; 1 is used.", "Give 1 or more."
            )
        if queue.timeout_ms < 0:
            yield build_warning(
                place,
                f"timeoutMs is {queue.timeout_ms}: calls wait the shortest time.",
                "Give a positive time, or 0 for no limit.",
            )
        if 0 < queue.timeout_ms < queue.objective_ms:
            yield build_warning(
                place,
                f"The objective (targetLatencyMs {queue.objective_ms}) is beyond the "
                f"time limit (timeoutMs {queue.timeout_ms}): callers stop waiting "
                "before a submission is late.",
                "Lower targetLatencyMs, or raise timeoutMs.",
            )
        factor = queue.objective_factor
        if queue.objective_ms < 0 or not (0 <= factor < math.inf):
            yield build_warning(
                place,
                f"The objective (targetFactor {factor}, targetLatencyMs "
                f"{queue.objective_ms}) cannot be met or never ends.",
                "Give finite values that are not negative.",
            )
    if entries.max_body_bytes < 1:
        yield build_warning(
            "limits.maxBodyBytes",
            f"{entries.max_body_bytes} refuses every submission.",
            "Give the size of the largest body in bytes.",
        )


def _has_valid_weight(organisation: Organisation) -> bool:
    return 0 < organisation.weight < math.inf


def find_weak_organisations(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find organisations without a usable weight, quota or key."""
    has_public_route = any(queue.public for queue in entries.queues)
    for number, (organisation, keys) in enumerate(
        zip(entries.organisations, entries.api_keys, strict=True)
    ):
        place = place_tenant(number, organisation)
        if not _has_valid_weight(organisation):
            yield build_warning(
                place,
                f"The weight {organisation.weight} gives no share of a full pool.",
                "Give a finite weight above 0.",
            )
        quota = organisation.quota
        if min(quota.cpu, quota.memory_mb, quota.gpu) < 0:
            yield build_warning(
                place,
                "A negative amount in 'cap' lets nothing of the organisation run.",
                "Give a positive amount, or 0 for no limit.",
            )
        if not keys and not has_public_route:
            yield build_warning(
                place,
                "The organisation has no API key and no route is public, so it cannot "
                "call.",
                "Grant it a key, or remove it.",
            )


def _sum_cpu(machines: t.Iterable[ListedMachine]) -> int:
    return sum(
        machine.size.cpu if machine.size else SMALLEST_MACHINE_CPU
        for machine in machines
    )


def find_useless_weights(
    entries: ConfigurationEntries, machine_list: MachineList | None
) -> t.Iterator[Finding]:
    """Find weights that have no effect because the quota is below the share.

    Pools are shared separately, in proportion to the weights of the organisations with
    work in them; a quota limits an organisation in all pools together. If it is below
    the share of the smallest pool that has queues, with all organisations at work, it
    is reached before the share in every pool, and the weight never decides anything.
    """
    if machine_list is None or not machine_list.is_complete:
        return
    routed = {queue.service for queue in entries.queues}
    standby = {service.name for service in entries.services if service.standby}
    by_pool = itertools.groupby(
        sorted(machine_list.machines, key=lambda machine: machine.pool),
        key=lambda machine: machine.pool,
    )
    sizes = [
        (_sum_cpu(machines), pool)
        for pool, machines in by_pool
        if pool in routed - standby
    ]
    valid = {
        number: Fraction(organisation.weight)
        for number, organisation in enumerate(entries.organisations)
        if _has_valid_weight(organisation)
    }
    # With a single organisation nothing is shared.
    if not sizes or len(valid) < 2:
        return
    smallest_cpu, pool = min(sizes)
    total = sum(valid.values())
    for number, weight in valid.items():
        organisation = entries.organisations[number]
        if 0 < organisation.quota.cpu < weight / total * smallest_cpu:
            yield build_warning(
                place_tenant(number, organisation),
                f"The quota of {organisation.quota.cpu} thousandths of a core is below "
                f"the share of {float(weight / total):.1%} of the smallest pool "
                f"{quote(pool)}, so the weight {organisation.weight} has no effect.",
                "Raise cap.cpu, or lower the weight.",
            )
