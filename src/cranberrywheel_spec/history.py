"""Checker of histories of concurrent runs.

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
    :param checked: number of events that the rule applied to.
    :param violations: one sentence each.
    """

    rule: str
    checked: int
    violations: list[str]

    def format_line(self) -> str:
        """Return the verdict as one line."""
        word = "FAIL" if self.violations else "ok" if self.checked else "unexercised"
        text = f"{word} {self.rule} checked={self.checked}"
        if self.violations:
            text += f" violations={len(self.violations)} first: {self.violations[0]}"
        return text


Findings = t.Iterator[str | None]
"""One item for each checked event: a violation or ``None``."""


def _at_most_once(history: History) -> Findings:
    for work in sorted({e.ticket for e in history.select(Invoke) if e.ticket}):
        starts = history.starts_by_work_id.get(work, [])
        where = ", ".join(f"{s.worker} at {s.at_ms}" for s in starts)
        yield f"ticket {work} started on {where}" if len(starts) > 1 else None


def _true_not_run(history: History) -> Findings:
    answered_ms = {e.request: e.at_ms for e in history.select(Response)}
    for answer in history.select(Response):
        if answer.outcome != "not-run":
            continue
        work = history.get_work_id(answer.request)
        others = [
            a for a in history.invokes_by_work_id[work] if a.request != answer.request
        ]
        found = None
        for start in history.starts_by_work_id.get(work, []):
            # A later start is legitimate only for another open call with the ticket.
            open_call = any(
                a.at_ms <= start.at_ms <= answered_ms.get(a.request, float("inf"))
                for a in others
            )
            if start.at_ms <= answer.at_ms or not open_call:
                found = f"{answer.request} got not-run, {start.task} ran for {work}"
        yield found
    for query in history.select(Query):
        if query.outcome == "not-run":
            starts = history.starts_by_work_id.get(query.ticket, [])
            yield f"ticket {query.ticket} not-run but started" if starts else None


def _true_outcome(history: History) -> Findings:
    for answer in history.select(Response):
        if answer.outcome not in ("ok", "failed"):
            continue
        work = history.get_work_id(answer.request)
        starts = [
            s
            for s in history.starts_by_work_id.get(work, [])
            if s.at_ms <= answer.at_ms
        ]
        ends = [history.ends_by_task.get(s.task) for s in starts]
        hows = {end.how if end else "open" for end in ends}
        wanted = {"finished", "open"} if answer.outcome == "ok" else {"failed", "open"}
        if not hows & wanted:
            yield f"{answer.request} got {answer.outcome}, its tasks: {sorted(hows)}"
        else:
            yield None


def _own_answer(history: History) -> Findings:
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


def _limits(history: History) -> Findings:
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
            old_ms = event.at_ms - history.meta.limit_bound_ms
            ended = [x for x in limits[event.team] if x.at_ms <= old_ms][:-1]
            highest = max(x.limit for x in limits[event.team][len(ended) :])
            count = len(running[event.team])
            over = f"team {event.team} ran {count} over {highest} at {event.at_ms}"
            yield over if count > highest else None


def _units(history: History) -> Findings:
    last: dict[str, Units] = {}
    for record in sorted(history.select(Units), key=lambda e: e.revision):
        before = last.get(record.team)
        held = sum(record.held_by_holder.values())
        # After a limit is lowered, the sum may stay above it but must not grow.
        most = max(record.limit, sum(before.held_by_holder.values()) if before else 0)
        bad = held > most or min(record.held_by_holder.values(), default=0) < 0
        last[record.team] = record
        at = f"revision {record.revision}"
        yield f"limits/{record.team} {at} holds {held} of {most}" if bad else None


def _versions(history: History) -> Findings:
    last: dict[str, int] = {}
    for adopt in history.select(Adopt):
        before = last.get(adopt.process, 0)
        last[adopt.process] = max(before, adopt.version)
        text = f"{adopt.process} went from version {before} to {adopt.version}"
        yield text if adopt.version <= before else None


def _keys(history: History) -> Findings:
    ends_ms = {e.key_id: e.at_ms for e in reversed(history.select(Withdraw))}
    accepted = {s.request for s in history.select(TaskStart)}
    accepted |= {e.request for e in history.select(Response) if e.outcome == "ok"}
    for invoke in history.select(Invoke):
        end_ms = ends_ms.get(invoke.key_id, float("inf")) + history.meta.key_bound_ms
        late = invoke.at_ms > end_ms and invoke.queue not in history.meta.stale_queues
        if late or not invoke.key_valid:
            text = f"{invoke.request} was accepted with key {invoke.key_id!r}"
            yield text if invoke.request in accepted else None


def _teams(history: History) -> Findings:
    for start in history.select(TaskStart):
        invoke = history.invokes_by_request.get(start.request)
        if invoke is None:
            yield f"task {start.task} ran for {start.request!r}, which nobody invoked"
        else:
            wrong = (start.team, start.queue) != (invoke.team, invoke.queue)
            where = f"{start.team!r}/{start.queue!r}"
            yield f"task {start.task} ran as {where}" if wrong else None


def _pools(history: History) -> Findings:
    last: dict[str, PoolRecord] = {}
    for record in sorted(history.select(PoolRecord), key=lambda e: e.revision):
        before = last.get(record.zone)
        last[record.zone] = record
        yield _pool_fault(record, before, last)


def _pool_fault(
    record: PoolRecord, before: PoolRecord | None, last: dict[str, PoolRecord]
) -> str | None:
    at = f"pools/{record.zone} revision {record.revision}"
    for zone, other in last.items():
        both = sorted(set(record.instances) & set(other.instances))
        if zone != record.zone and both:
            return f"{at}: {both[0]} is also in zone {zone}"
    if before is None:
        return None
    if record.revision == before.revision or record.fence < before.fence:
        return f"{at}: fence {record.fence} after {before.fence}"
    for name, placement in record.instances.items():
        old = before.instances.get(name)
        if old and old.pool != placement.pool and old.state != "empty":
            return f"{at}: {name} changed pool in state {old.state}"
    return None


def _leaving(history: History) -> Findings:
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
    "at-most-once": _at_most_once,
    "true-not-run": _true_not_run,
    "true-outcome": _true_outcome,
    "own-answer": _own_answer,
    "limit": _limits,
    "units": _units,
    "versions": _versions,
    "keys": _keys,
    "team": _teams,
    "one-pool": _pools,
    "leaving": _leaving,
}


def check(events: t.Iterable[t.Any]) -> list[Verdict]:
    """Apply every rule.

    :param events: events from :func:`parse_lines`.
    :returns: one verdict for each rule.
    """
    history = History(list(events))
    verdicts = []
    for rule, find in RULES.items():
        findings = list(find(history))
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
