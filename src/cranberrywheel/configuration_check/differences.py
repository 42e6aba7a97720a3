"""Differences between a configuration and the version in force, in operators' terms.

Where an input has duplicates, the last entry counts, as in the decoder.
"""

import typing as t

from cranberrywheel.configuration_check.entries import ConfigurationEntries
from cranberrywheel.configuration_check.findings import Difference, hash_key, quote
from cranberrywheel.submission.model import (
    NO_RESOURCES,
    Organisation,
    Queue,
    Resources,
    Service,
)

_Entry = t.TypeVar("_Entry", Queue, Service, Organisation)


def _index_keys(entries: ConfigurationEntries) -> dict[str, str]:
    return {
        key: organisation.name
        for organisation, keys in zip(
            entries.organisations, entries.api_keys, strict=True
        )
        for key in keys
    }


def _compare_keys(
    old: ConfigurationEntries, new: ConfigurationEntries
) -> t.Iterator[Difference]:
    old_owners, new_owners = _index_keys(old), _index_keys(new)
    for key in dict.fromkeys([*old_owners, *new_owners]):
        before, after = old_owners.get(key), new_owners.get(key)
        if before == after:
            continue
        name = f"key {hash_key(key)}"
        if after is None:
            yield Difference(
                f"tenant {quote(t.cast(str, before))}",
                f"{name} withdrawn",
                "Calls with it are refused (401), except on public routes, where "
                "they count as calls without a key. Accepted submissions continue.",
            )
        elif before is None:
            yield Difference(
                f"tenant {quote(after)}",
                f"{name} granted",
                "Calls with it are accepted. Running work is not affected.",
            )
        else:
            yield Difference(
                f"tenant {quote(after)}",
                f"{name} moved here from {quote(before)}",
                "New submissions count for the new organisation, accepted ones for the "
                "old one.",
            )


def _pair(
    old: t.Iterable[_Entry],
    new: t.Iterable[_Entry],
    get_key: t.Callable[[_Entry], str],
) -> t.Iterator[tuple[_Entry | None, _Entry | None]]:
    old_by_key = {get_key(entry): entry for entry in old}
    new_by_key = {get_key(entry): entry for entry in new}
    for key in dict.fromkeys([*old_by_key, *new_by_key]):
        yield old_by_key.get(key), new_by_key.get(key)


def _format_objective(queue: Queue) -> str:
    return f"{queue.objective_factor} x work + {queue.objective_ms} ms"


def _compare_queue(before: Queue, after: Queue) -> t.Iterator[tuple[str, str]]:
    """Return the changes of a queue, each with its effect."""
    if before.name != after.name:
        yield f"renamed from {quote(before.name)}", "None, except in logs."
    if before.service != after.service:
        yield (
            f"moved from service {quote(before.service)} to {quote(after.service)}",
            "Running tasks finish where they are; waiting tasks start in the new pool.",
        )
    if before.priority != after.priority:
        yield (
            f"priority {before.priority} -> {after.priority} (0 is the highest)",
            "Waiting work is reordered at once. With preemption, runs of less urgent "
            "queues of the pool may be stopped for work of this one, or the reverse.",
        )
    if before.attempts != after.attempts:
        lowered = after.attempts < before.attempts
        yield (
            f"attempts {before.attempts} -> {after.attempts}",
            "Holds for accepted submissions too: "
            + (
                "a task that has failed that often already fails its submission at its "
                "next failure or when another process leads."
                if lowered
                else "their tasks may fail more often."
            ),
        )
    if _format_objective(before) != _format_objective(after):
        yield (
            f"objective {_format_objective(before)} -> {_format_objective(after)}",
            "Waiting submissions are reordered by the new objective at once, and new "
            "ones are admitted by it. Running tasks continue.",
        )
    if before.timeout_ms != after.timeout_ms:
        yield (
            f"time limit {before.timeout_ms} -> {after.timeout_ms} ms (0: none)",
            "Holds for new calls. Running work is not affected.",
        )
    if before.public != after.public:
        yield (
            "becomes public" if after.public else "is no longer public",
            "Calls without a key are accepted."
            if after.public
            else "Calls without a key are refused (401). Accepted work continues.",
        )
    if before.advised != after.advised:
        yield (
            "the advisor is asked" if after.advised else "the advisor is not asked",
            "Tasks that wait start only on executors that the advisor allows."
            if after.advised
            else "Tasks that wait start on any executor of the pool.",
        )
    elif before.advisor_timing != after.advisor_timing:
        yield (
            f"advisor's time {_format_advisor(before)} -> {_format_advisor(after)}",
            "Holds for the time limits of the next calls to the advisor.",
        )


def _format_advisor(queue: Queue) -> str:
    timing = queue.advisor_timing
    return f"{timing.decision_ms} ms + {timing.per_executor_ms} ms an executor"


def _compare_queues(
    old: ConfigurationEntries, new: ConfigurationEntries
) -> t.Iterator[Difference]:
    for before, after in _pair(old.queues, new.queues, lambda queue: queue.key):
        if before is not None and after is not None:
            for change, effect in _compare_queue(before, after):
                yield Difference(f"queue {quote(after.name)}", change, effect)
        elif after is not None:
            yield Difference(
                f"queue {quote(after.name)}",
                f"added: {quote(after.host)} {quote(after.prefix)} to service "
                f"{quote(after.service)}",
                "New calls whose longest prefix it is belong to it, and so do accepted "
                "submissions of an earlier queue with this host and prefix.",
            )
        elif before is not None:
            yield Difference(
                f"queue {quote(before.name)}",
                f"removed: {quote(before.host)} {quote(before.prefix)}",
                "Its calls are refused (404) unless another route matches. Accepted "
                "submissions continue with the priority, attempts and objective that "
                "they had.",
            )


def _compare_services(
    old: ConfigurationEntries, new: ConfigurationEntries
) -> t.Iterator[Difference]:
    for before, after in _pair(old.services, new.services, lambda entry: entry.name):
        place = f"service {quote(t.cast(Service, after or before).name)}"
        if after is None:
            yield Difference(
                place,
                "removed",
                "Running tasks finish. A route that still names it is an error.",
            )
            continue
        if before is None:
            yield Difference(place, "added", "None until a route leads to it.")
        was_standby = before is not None and before.standby
        if after.standby and not was_standby:
            yield Difference(
                place,
                "becomes a standby pool",
                "Its machines are switched off and lent to other pools; tasks that run "
                "on them may be lost.",
            )
        elif was_standby and not after.standby:
            yield Difference(
                place,
                "is no longer a standby pool",
                "Its machines are on and paid for, and other pools cannot borrow them "
                "as a reserve.",
            )


def _format_quota(quota: Resources) -> str:
    if quota == NO_RESOURCES:
        return "none"
    return f"cpu {quota.cpu}, memMb {quota.memory_mb}, gpu {quota.gpu}"


def _is_tighter(before: Resources, after: Resources) -> bool:
    return any(
        new and (not old or new < old)
        for old, new in (
            (before.cpu, after.cpu),
            (before.memory_mb, after.memory_mb),
            (before.gpu, after.gpu),
        )
    )


def _compare_organisations(
    old: ConfigurationEntries, new: ConfigurationEntries
) -> t.Iterator[Difference]:
    for before, after in _pair(
        old.organisations, new.organisations, lambda entry: entry.name
    ):
        place = f"tenant {quote(t.cast(Organisation, after or before).name)}"
        if after is None:
            yield Difference(
                place,
                "removed",
                "Accepted submissions continue, without a quota and with weight 1.",
            )
        elif before is None:
            yield Difference(
                place,
                f"added with weight {after.weight}, quota {_format_quota(after.quota)}",
                "Once it has work in a full pool, the shares of the others shrink.",
            )
        else:
            if repr(before.weight) != repr(after.weight):
                yield Difference(
                    place,
                    f"weight {before.weight} -> {after.weight}",
                    "The shares of full pools change at once. No run is stopped.",
                )
            if before.quota != after.quota:
                yield Difference(
                    place,
                    f"quota {_format_quota(before.quota)} -> "
                    f"{_format_quota(after.quota)}",
                    "No run is stopped; nothing is started while the use is above it."
                    if _is_tighter(before.quota, after.quota)
                    else "Waiting work may start at once.",
                )


def list_differences(
    old: ConfigurationEntries, new: ConfigurationEntries
) -> list[Difference]:
    """Return what changes when a configuration replaces the version in force."""
    differences = [
        *_compare_keys(old, new),
        *_compare_queues(old, new),
        *_compare_services(old, new),
        *_compare_organisations(old, new),
    ]
    if old.max_body_bytes != new.max_body_bytes:
        differences.append(
            Difference(
                "limits.maxBodyBytes",
                f"{old.max_body_bytes} -> {new.max_body_bytes}",
                "Larger submissions are refused (413). Running work continues.",
            )
        )
    return differences
