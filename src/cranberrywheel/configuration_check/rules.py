"""Rules for a configuration: errors that must not be sent, and warnings.

A rule is a pure function that yields findings for any input of the declared types.
"""

import typing as t

from cranberrywheel.configuration_check.entries import (
    ConfigurationEntries,
    FormatFault,
    MachineList,
)
from cranberrywheel.configuration_check.findings import (
    Finding,
    Severity,
    build_error,
    build_warning,
    hash_key,
    place_route,
    place_tenant,
    quote,
)
from cranberrywheel.configuration_check.limit_rules import (
    find_contradictory_limits,
    find_useless_weights,
    find_weak_organisations,
)

_REMEDY_BY_KIND = {
    "missing": "Add the field.",
    "json_invalid": "Correct the JSON at this position.",
}


def describe_faults(file: str, faults: t.Iterable[FormatFault]) -> list[Finding]:
    """Return the faults of a text that its decoder refuses as errors.

    :param file: name of the file, which is the place of faults of the whole text.
    """
    return [
        build_error(
            f"{file}: {fault.place}" if fault.place else file,
            fault.message,
            _REMEDY_BY_KIND.get(fault.kind, "Give a value of the type named."),
        )
        for fault in faults
    ]


def find_duplicate_names(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find routes, services or tenants of the same name."""
    for kind, named, effect in (
        ("routes", entries.queues, "logs do not tell them apart"),
        ("services", entries.services, "only the last one counts"),
        (
            "tenants",
            entries.organisations,
            "weight and quota of the last one hold for the keys of both",
        ),
    ):
        first_by_name: dict[str, int] = {}
        for number, entry in enumerate(named):
            first = first_by_name.setdefault(entry.name, number)
            if first != number:
                yield build_error(
                    f"{kind}[{number}] {quote(entry.name)}",
                    f"{kind}[{first}] has the same name; {effect}.",
                    "Rename or remove one of them.",
                )


def find_identical_routes(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find routes with the same host and prefix as an earlier one.

    No other pair of routes hides one of them: the longest prefix wins, and the path
    that is the shorter prefix itself still belongs to the shorter one.
    """
    first_by_key: dict[str, int] = {}
    for number, queue in enumerate(entries.queues):
        first = first_by_key.setdefault(queue.key, number)
        if first != number:
            yield build_error(
                place_route(number, queue),
                f"{place_route(first, entries.queues[first])} has the same host and "
                "prefix. Calls are checked against the first route and their work runs "
                "under the last one.",
                "Remove one of them, or give it another prefix.",
            )


def find_unknown_services(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find routes to a service that the configuration does not have."""
    names = {service.name for service in entries.services}
    for number, queue in enumerate(entries.queues):
        if queue.service not in names:
            yield build_error(
                place_route(number, queue),
                f"The service {quote(queue.service)} does not exist.",
                "Add the service, or name one of those under 'services'.",
            )


def find_ambiguous_keys(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find API keys that two organisations have, and those that no call can have."""
    owner_by_key: dict[str, str] = {}
    for number, (organisation, keys) in enumerate(
        zip(entries.organisations, entries.api_keys, strict=True)
    ):
        place = place_tenant(number, organisation)
        for key in dict.fromkeys(keys):
            owner = owner_by_key.setdefault(key, organisation.name)
            if owner != organisation.name:
                yield build_error(
                    place,
                    f"The key {hash_key(key)} belongs to {quote(owner)} too; its calls "
                    "count for the last organisation that has it.",
                    "Withdraw the key from one of them.",
                )
            if not key:
                yield build_error(
                    place,
                    "An API key is empty: calls with an empty key are accepted.",
                    "Remove the empty key.",
                )
            elif key != key.strip():
                yield build_warning(
                    place,
                    f"The key {hash_key(key)} begins or ends with white space, which "
                    "is removed from the keys of calls, so it never matches.",
                    "Remove the white space.",
                )
        if not organisation.name and keys:
            yield build_warning(
                place,
                "The organisation has no name, so calls with its keys count as calls "
                "without a key.",
                "Give it a name.",
            )


def find_old_version(
    entries: ConfigurationEntries, in_force: ConfigurationEntries | None
) -> t.Iterator[Finding]:
    """Find a version that no process adopts."""
    if in_force is None:
        # Processes begin with version 0.
        newest, name = 0, "the smallest is 1"
    else:
        newest, name = in_force.version, f"version {in_force.version} is in force"
    if entries.version <= newest:
        yield build_error(
            "version",
            f"Version {entries.version} is ignored: {name}.",
            "Give a larger version.",
        )


def find_unmatchable_routes(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find routes whose host or prefix no call has."""
    for number, queue in enumerate(entries.queues):
        place = place_route(number, queue)
        if queue.prefix and not queue.prefix.startswith("/"):
            yield build_warning(
                place,
                f"No path begins with {quote(queue.prefix)}; the route never matches.",
                "Begin the prefix with '/'.",
            )
        if not queue.host or "/" in queue.host or len(queue.host.split()) != 1:
            yield build_warning(
                place,
                f"No call has the host {quote(queue.host)}; the route never matches.",
                "Give a host name, with a port if calls name one.",
            )


def find_unused_services(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find services without a route. A standby pool needs none."""
    used = {queue.service for queue in entries.queues}
    for number, service in enumerate(entries.services):
        if service.name not in used and not service.standby:
            yield build_warning(
                f"services[{number}] {quote(service.name)}",
                "No route leads to the service; its machines get no work.",
                "Add a route, make it a standby pool, or remove it.",
            )


def find_standby_routes(entries: ConfigurationEntries) -> t.Iterator[Finding]:
    """Find routes to a standby pool, whose machines are switched off."""
    standby = {service.name for service in entries.services if service.standby}
    for number, queue in enumerate(entries.queues):
        if queue.service in standby:
            yield build_warning(
                place_route(number, queue),
                f"{quote(queue.service)} is a standby pool: its machines are off and "
                "are lent to other pools, so the queue has no capacity of its own.",
                "Lead the route to another service, or end the standby.",
            )


def find_empty_pools(
    entries: ConfigurationEntries, machine_list: MachineList | None
) -> t.Iterator[Finding]:
    """Find services without machines, and machines without a service.

    Where a queue uses a service without machines and standby pools have some, these are
    its only capacity.
    """
    if machine_list is None:
        return
    if not machine_list.is_complete:
        yield build_warning(
            "--machines",
            "The list has further pages; machines are not checked.",
            "Give all machines in one list without 'nextPageToken'.",
        )
        return
    pools = {machine.pool for machine in machine_list.machines}
    used = {queue.service for queue in entries.queues}
    standby = {service.name for service in entries.services if service.standby}
    reserve = sorted(standby & pools)
    for number, service in enumerate(entries.services):
        if service.name in pools:
            continue
        message = "The service has no machine."
        if service.standby:
            message = "The standby pool has no machine, so it is no reserve."
        elif service.name in used and reserve:
            message = (
                "The service has no machine: the only capacity of its queues are "
                f"machines that are off, in {', '.join(map(quote, reserve))}."
            )
        yield build_warning(
            f"services[{number}] {quote(service.name)}",
            message,
            "Move machines to its pool before the configuration is sent.",
        )
    for pool in sorted(pools - {service.name for service in entries.services}):
        yield build_warning(
            "--machines",
            f"Machines are in the pool {quote(pool)}, which is no service.",
            "Add the service, or move the machines.",
        )


def find_all(
    entries: ConfigurationEntries,
    in_force: ConfigurationEntries | None = None,
    machine_list: MachineList | None = None,
) -> list[Finding]:
    """Apply all rules.

    :param in_force: version in force; ``None`` if it is not known.
    :param machine_list: the platform's machines; ``None`` if they are not known.
    :returns: errors, then warnings.
    """
    findings = [
        *find_old_version(entries, in_force),
        *find_duplicate_names(entries),
        *find_identical_routes(entries),
        *find_unknown_services(entries),
        *find_ambiguous_keys(entries),
        *find_unmatchable_routes(entries),
        *find_unused_services(entries),
        *find_standby_routes(entries),
        *find_empty_pools(entries, machine_list),
        *find_contradictory_limits(entries),
        *find_weak_organisations(entries),
        *find_useless_weights(entries, machine_list),
    ]
    return sorted(findings, key=lambda found: found.severity is not Severity.ERROR)
