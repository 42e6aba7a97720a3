"""Checks recorded histories of concurrent runs against the protocol's rules.

``python -m cranberrywheel_spec.history FILE...`` prints one line for each rule: ``ok``,
``FAIL`` or ``unexercised``. The exit code is 0, or 1 if a rule is violated, or 2 for
malformed input. :mod:`cranberrywheel_spec.history_events` defines the file format.
"""

import collections
import dataclasses
import itertools
import pathlib
import sys
import typing as t

from cranberrywheel_spec.history_events import (
    Adopt,
    History,
    HistoryError,
    Invoke,
    Limit,
    PoolRecord,
    Query,
    Response,
    TaskEnd,
    TaskStart,
    Units,
    Withdraw,
    WorkerEvent,
    parse_lines,
)


@dataclasses.dataclass
class Verdict:
    """Result of one rule.

    :param rule: name of the rule.
    :param checked: number of events that the rule applies to.
    :param violations: description of each violation.
    """

    rule: str
    checked: int
    violations: list[str]

    def format_line(self) -> str:
        """Format the verdict as one line of text."""
        word = "FAIL" if self.violations else "ok" if self.checked else "unexercised"
        text = f"{word} {self.rule} checked={self.checked}"
        if self.violations:
            text += f" violations={len(self.violations)} first: {self.violations[0]}"
        return text


Findings = t.Iterator[str | None]
"""One item per checked event: the description of a violation, or ``None``."""


def _check_at_most_once(history: History) -> Findings:
    for work_id in sorted({e.ticket for e in history.select(Invoke) if e.ticket}):
        starts = history.starts_by_work_id.get(work_id, [])
        where = ", ".join(f"{s.worker} at {s.at_ms}" for s in starts)
        yield f"ticket {work_id} started on {where}" if len(starts) > 1 else None


def _check_true_not_run(history: History) -> Findings:
    answered_ms = {e.request: e.at_ms for e in history.select(Response)}
    for answer in history.select(Response):
        if answer.outcome != "not-run":
            continue
        work_id = history.get_work_id(answer.request)
        others = [
            a
            for a in history.invokes_by_work_id[work_id]
            if a.request != answer.request
        ]
        violation = None
        for start in history.starts_by_work_id.get(work_id, []):
            # A later start is allowed only for another open call with the same ticket.
            open_call = any(
                a.at_ms <= start.at_ms <= answered_ms.get(a.request, float("inf"))
                for a in others
            )
            if start.at_ms <= answer.at_ms or not open_call:
                violation = (
                    f"{answer.request} got not-run, {start.task} ran for {work_id}"
                )
        yield violation
    for query in history.select(Query):
        if query.outcome == "not-run":
            starts = history.starts_by_work_id.get(query.ticket, [])
            yield f"ticket {query.ticket} not-run but started" if starts else None


def _check_true_outcome(history: History) -> Findings:
    for answer in history.select(Response):
        if answer.outcome not in ("ok", "failed"):
            continue
        work_id = history.get_work_id(answer.request)
        starts = [
            s
            for s in history.starts_by_work_id.get(work_id, [])
            if s.at_ms <= answer.at_ms
        ]
        ends = [history.ends_by_task.get(s.task) for s in starts]
        task_outcomes = {end.how if end else "open" for end in ends}
        consistent_outcomes = (
            {"finished", "open"} if answer.outcome == "ok" else {"failed", "open"}
        )
        if not task_outcomes & consistent_outcomes:
            yield (
                f"{answer.request} got {answer.outcome}, "
                f"its tasks: {sorted(task_outcomes)}"
            )
        else:
            yield None


def _check_own_answer(history: History) -> Findings:
    for answer in history.select(Response):
        if answer.request not in history.invokes_by_request:
            yield f"response to {answer.request}, which nobody invoked"
        elif not answer.complete:
            yield f"{answer.request} got an incomplete answer"
        elif answer.outcome == "ok" and history.get_work_id(
            answer.answer_to
        ) != history.get_work_id(answer.request):
            yield f"{answer.request} got the answer to {answer.answer_to!r}"
        else:
            yield None


def _check_team_limits(history: History) -> Findings:
    running: dict[str, dict[str, TaskStart]] = collections.defaultdict(dict)
    limits: dict[str, list[Limit]] = collections.defaultdict(list)
    for event in history.events:
        if isinstance(event, Limit):
            limits[event.team].append(event)
        elif isinstance(event, TaskEnd):
            for tasks in running.values():
                tasks.pop(event.task, None)
        elif isinstance(event, WorkerEvent) and event.event == "worker_lost":
            for tasks in running.values():
                for task in [k for k, s in tasks.items() if s.worker == event.worker]:
                    del tasks[task]
        elif isinstance(event, TaskStart) and limits[event.team]:
            running[event.team][event.task] = event
            bound_start_ms = event.at_ms - history.meta.limit_bound_ms
            superseded = [x for x in limits[event.team] if x.at_ms <= bound_start_ms][
                :-1
            ]
            highest = max(x.limit for x in limits[event.team][len(superseded) :])
            count = len(running[event.team])
            violation = f"team {event.team} ran {count} over {highest} at {event.at_ms}"
            yield violation if count > highest else None


def _check_units(history: History) -> Findings:
    last_by_key: dict[str, Units] = {}
    for record in sorted(history.select(Units), key=lambda e: e.revision):
        previous = last_by_key.get(record.team)
        held_units = sum(record.held_by_holder.values())
        # After a limit is lowered, the sum may stay above it but must not grow.
        max_units = max(
            record.limit, sum(previous.held_by_holder.values()) if previous else 0
        )
        is_violation = (
            held_units > max_units or min(record.held_by_holder.values(), default=0) < 0
        )
        last_by_key[record.team] = record
        record_label = f"revision {record.revision}"
        yield (
            f"limits/{record.team} {record_label} holds {held_units} of {max_units}"
            if is_violation
            else None
        )


def _check_versions(history: History) -> Findings:
    last_by_key: dict[str, int] = {}
    for adopt in history.select(Adopt):
        previous = last_by_key.get(adopt.process, 0)
        last_by_key[adopt.process] = max(previous, adopt.version)
        text = f"{adopt.process} went from version {previous} to {adopt.version}"
        yield text if adopt.version <= previous else None


def _check_keys(history: History) -> Findings:
    ends_ms = {e.key_id: e.at_ms for e in reversed(history.select(Withdraw))}
    accepted = {s.request for s in history.select(TaskStart)}
    accepted |= {e.request for e in history.select(Response) if e.outcome == "ok"}
    for invoke in history.select(Invoke):
        end_ms = ends_ms.get(invoke.key_id, float("inf")) + history.meta.key_bound_ms
        is_late = (
            invoke.at_ms > end_ms and invoke.queue not in history.meta.stale_queues
        )
        if is_late or not invoke.key_valid:
            text = f"{invoke.request} was accepted with key {invoke.key_id!r}"
            yield text if invoke.request in accepted else None


def _check_team_and_queue(history: History) -> Findings:
    for start in history.select(TaskStart):
        invoke = history.invokes_by_request.get(start.request)
        if invoke is None:
            yield f"task {start.task} ran for {start.request!r}, which nobody invoked"
        else:
            is_wrong = (start.team, start.queue) != (invoke.team, invoke.queue)
            where = f"{start.team!r}/{start.queue!r}"
            yield f"task {start.task} ran as {where}" if is_wrong else None


def _check_pool_records(history: History) -> Findings:
    last_by_key: dict[str, PoolRecord] = {}
    for record in sorted(history.select(PoolRecord), key=lambda e: e.revision):
        previous = last_by_key.get(record.zone)
        last_by_key[record.zone] = record
        yield _find_pool_violation(record, previous, last_by_key)


def _find_pool_violation(
    record: PoolRecord, previous: PoolRecord | None, last_by_key: dict[str, PoolRecord]
) -> str | None:
    record_label = f"pools/{record.zone} revision {record.revision}"
    for zone, other in last_by_key.items():
        shared_names = sorted(set(record.instances) & set(other.instances))
        if zone != record.zone and shared_names:
            return f"{record_label}: {shared_names[0]} is also in zone {zone}"
    if previous is None:
        return None
    if record.revision == previous.revision or record.fence < previous.fence:
        return f"{record_label}: fence {record.fence} after {previous.fence}"
    for name, assignment in record.instances.items():
        previous_assignment = previous.instances.get(name)
        if (
            previous_assignment
            and previous_assignment.pool != assignment.pool
            and previous_assignment.state != "empty"
        ):
            return (
                f"{record_label}: {name} changed pool "
                f"in state {previous_assignment.state}"
            )
    return None


def _check_leaving_workers(history: History) -> Findings:
    since_ms: dict[str, float] = {}
    for event in history.events:
        if isinstance(event, WorkerEvent) and event.event == "leaving":
            since_ms.setdefault(event.worker, event.at_ms)
        elif isinstance(event, WorkerEvent) and event.event == "returned":
            since_ms.pop(event.worker, None)
        elif isinstance(event, TaskStart) and event.worker in since_ms:
            late_ms = event.at_ms - since_ms[event.worker]
            text = f"task {event.task} started on {event.worker} {late_ms} ms late"
            yield text if late_ms > history.meta.leaving_bound_ms else None


RULES: dict[str, t.Callable[[History], Findings]] = {
    "at-most-once": _check_at_most_once,
    "true-not-run": _check_true_not_run,
    "true-outcome": _check_true_outcome,
    "own-answer": _check_own_answer,
    "limit": _check_team_limits,
    "units": _check_units,
    "versions": _check_versions,
    "keys": _check_keys,
    "team": _check_team_and_queue,
    "one-pool": _check_pool_records,
    "leaving": _check_leaving_workers,
}


def check(events: t.Iterable[t.Any]) -> list[Verdict]:
    """Apply every rule.

    :param events: events from :func:`parse_lines`.
    :returns: one verdict for each rule.
    """
    history = History(list(events))
    verdicts = []
    for rule, find_violations in RULES.items():
        findings = list(find_violations(history))
        verdicts.append(Verdict(rule, len(findings), [f for f in findings if f]))
    return verdicts


def main(paths: t.Sequence[str]) -> int:
    """Check the history in the given files and print one line for each rule.

    :param paths: files of one run.
    :returns: 0 if every rule holds, 1 if one is violated, 2 for malformed input.
    """
    if not paths:
        print("usage: python -m cranberrywheel_spec.history FILE...", file=sys.stderr)
        return 2
    try:
        events = list(
            itertools.chain.from_iterable(
                parse_lines(pathlib.Path(p).read_text().splitlines(True), p)
                for p in paths
            )
        )
    except (OSError, HistoryError) as error:
        print(error, file=sys.stderr)
        return 2
    verdicts = check(events)
    for verdict in verdicts:
        print(verdict.format_line())
    return 1 if any(v.violations for v in verdicts) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
