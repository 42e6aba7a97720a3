"""Planner process of one availability zone.

A round renews the zone's lease, finishes recorded steps and starts new ones. Each
step is written to ``pools/<zone>`` before the platform is called, so that the next
planner can finish it.
"""

import threading
import time
import typing as t

import statsd

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import InstanceList, StoreClient
from cranberrywheel.errors import (
    ConfigurationError,
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process import instance_lifecycle
from cranberrywheel.process.capacity import build_problem
from cranberrywheel.process.disruptions import Disruptions
from cranberrywheel.process.fleet_model import (
    Fleet,
    InstanceAssignment,
    InstanceState,
    Plan,
    Sizing,
    WorkerReport,
    build_fleet,
    parse_zone_pools,
)
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.process.waves import is_maintenance_due, plan_round
from cranberrywheel.process.worker_reports import (
    TaskStatus,
    UsageEstimator,
    WorkerClient,
    sum_usage,
    summarize_worker,
)
from cranberrywheel.process.zone_lease import ZoneLease
from cranberrywheel.process.zone_record import ZoneRecord
from cranberrywheel.settings import PlannerSettings
from cranberrywheel.version.configuration import Configuration, parse_configuration

#: Interval between full rounds, per worker. A full round reads all pools and the
#: instance list, about 300 bytes per worker; this interval keeps the traffic under
#: 10 KB a second for a fleet of any size.
PLAN_INTERVAL_PER_WORKER_MS = 40
#: Interval between decisions of pool sizes, which follow measured means that change
#: over hours.
SIZING_INTERVAL_MS = 10 * 60_000
#: Interval between usage samples; the weights of the measured means assume one
#: sample a minute.
SAMPLE_INTERVAL_MS = 60_000
#: Shortest interval between two writes of the plan and the measured usage.
PUBLISH_INTERVAL_MS = 60_000

_log = ComponentLogger("planner")


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


class Planner:
    """Plans and acts for one zone; not thread-safe.

    :param client: client of the platform's key-value store and instance control.
    :param workers: client that requests the tasks of workers.
    :param now_wall_ms: wall clock for the times in records, in milliseconds.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        client: StoreClient,
        workers: WorkerClient,
        clock: Clock | None = None,
        now_wall_ms: t.Callable[[], int] = wall_clock_ms,
    ) -> None:
        self._settings = settings
        self._client = client
        self._workers = workers
        self._clock = clock or Clock()
        self._now_wall_ms = now_wall_ms
        self._records = RecordStore(client, f"{settings.zone}.{settings.instance}")
        self._lease = ZoneLease(settings, client, self._records, self._clock)
        self._zone = ZoneRecord(
            settings.zone, client, self._records, self._lease, self._clock
        )
        self._disruptions = Disruptions(self._records)
        self._usage = UsageEstimator()
        self._configuration: Configuration | None = None
        self._configuration_version = 0
        self._instance_list = InstanceList(0, 0, ())
        self._checkpointed: set[tuple[str, str]] = set()
        #: Rebooting instances that failed to answer since the reboot was requested.
        self._unresponsive: set[str] = set()
        self._sizing: Sizing | None = None
        self._next_plan_ms = self._next_sizing_ms = 0
        self._next_publish_ms = self._next_sample_ms = 0
        self._metrics = (
            statsd.StatsClient(settings.statsd_host, settings.statsd_port)
            if settings.statsd_host
            else None
        )
        #: The last plan of this zone, or ``None`` while another planner acts.
        self.plan: Plan | None = None

    def run(self, stop: threading.Event) -> None:
        """Run rounds until ``stop`` is set, then release the lease."""
        while not stop.is_set():
            started_ms = self._clock.now_ms()
            self.run_once()
            spent_ms = self._clock.now_ms() - started_ms
            stop.wait(max(0, self._settings.interval_ms - spent_ms) / 1000)
        self._lease.release()

    def run_once(self) -> None:
        """Run one round; a store error ends it early."""
        try:
            if not self._lease.renew_or_acquire():
                self.plan = None
                return
            configuration = self._read_configuration()
            if configuration is None:
                return
            if self._zone.claim(configuration, self._now_wall_ms()):
                # Recorded reboots are requested again, so earlier failures to answer
                # do not show that a reboot has happened.
                self._unresponsive.clear()
            self._zone.apply_unconfirmed()
            self._finish_steps(configuration)
            if self._clock.now_ms() >= self._next_plan_ms:
                self._start_steps(configuration)
        except StoreUnavailableError as error:
            _log.warning("store unavailable; no new steps", cause=error.message)
            self._finish_without_store()
        except (StoreConflictError, LeaseLostError) as error:
            _log.event("round ended early; retrying next round", cause=error.message)
        except StoreError as error:
            _log.warning(
                "round failed; retrying next round",
                cause=error.message,
                remedy=error.remedy,
            )

    def _finish_without_store(self) -> None:
        """Repeat unconfirmed actions at the platform while the lease is still valid."""
        if not self._lease.is_valid():
            return
        try:
            self._zone.apply_unconfirmed()
        except (StoreError, LeaseLostError) as error:
            _log.event(
                "platform did not confirm recorded states; retrying next round",
                cause=error.message,
            )

    def _read_configuration(self) -> Configuration | None:
        stored = self._records.read("configuration")
        if stored and stored.revision > self._configuration_version:
            self._configuration_version = stored.revision
            try:
                self._configuration = parse_configuration(stored.body["text"])
                self._next_plan_ms = self._next_sizing_ms = 0
            except ConfigurationError as error:
                _log.warning(
                    "invalid configuration ignored; keeping the previous one",
                    version=stored.revision,
                    cause=error.message,
                )
        return self._configuration

    def _request_tasks(
        self, names: t.Iterable[str]
    ) -> dict[str, tuple[TaskStatus, ...] | None]:
        """Request the tasks of workers.

        :returns: tasks by name, ``None`` for a worker that did not answer. Workers
            that the instance list lacks are absent.
        """
        wanted = set(names)
        return self._workers.tasks(
            {
                row.instance_id: row.address
                for row in self._instance_list.instances
                if row.instance_id in wanted and row.address
            }
        )

    def _finish_steps(self, configuration: Configuration) -> None:
        """Advance the instances of the zone that are out of service."""
        out = {
            name: assignment
            for name, assignment in self._zone.pools.assignments_by_name.items()
            if assignment.state
            not in (InstanceState.SERVING, InstanceState.QUARANTINED)
            and self._zone.confirmation_age_ms(name) is not None
        }
        if not out:
            return
        if not self._instance_list.instances:
            self._instance_list = self._client.instances()
        tasks_by_name = self._request_tasks(out)
        changes = {}
        for name, assignment in out.items():
            new_assignment = self._advance(
                configuration, name, assignment, tasks_by_name.get(name)
            )
            if new_assignment:
                changes[name] = new_assignment
        self._zone.write_changes(changes)
        self._unresponsive -= changes.keys()
        self._checkpointed = {
            task_key for task_key in self._checkpointed if task_key[0] not in changes
        }
        if changes:
            self._update_disruptions(configuration)

    def _advance(
        self,
        configuration: Configuration,
        name: str,
        assignment: InstanceAssignment,
        tasks: tuple[TaskStatus, ...] | None,
    ) -> InstanceAssignment | None:
        if (
            assignment.target_pool
            and assignment.target_pool not in configuration.pools_by_name
        ):
            return instance_lifecycle.recall(assignment, self._now_wall_ms())
        declared = name in configuration.workers_by_name
        if assignment.state is InstanceState.EMPTY and not declared:
            return None
        if assignment.state is InstanceState.DRAINING:
            self._checkpoint_tasks(configuration, name, tasks or ())
        if assignment.state is InstanceState.REBOOTING and tasks is None:
            self._unresponsive.add(name)
        requested_age_ms = self._zone.confirmation_age_ms(name) or 0
        rebooted = (
            name in self._unresponsive
            or requested_age_ms >= configuration.reboot_minutes * 60_000
        )
        now_ms = self._now_wall_ms()
        maintained_ms = self._zone.pools.maintained_ms_by_name.get(name, 0)
        due = is_maintenance_due(configuration, maintained_ms, now_ms)
        report = summarize_worker(configuration, tasks)
        return instance_lifecycle.advance(assignment, report, rebooted, due, now_ms)

    def _checkpoint_tasks(
        self, configuration: Configuration, name: str, tasks: tuple[TaskStatus, ...]
    ) -> None:
        addresses = {
            instance.instance_id: instance.address
            for instance in self._instance_list.instances
        }
        for task in tasks:
            queue = configuration.queues_by_name.get(task.queue)
            task_key = (name, task.task_id)
            if (
                task.state == "running"
                and queue
                and queue.can_checkpoint
                and task_key not in self._checkpointed
            ):
                self._checkpointed.add(task_key)
                _log.event(
                    "checkpointing task for drain",
                    instance=name,
                    request_id=task_key[1],
                )
                self._workers.checkpoint(addresses[name], task.task_id)

    def _update_disruptions(
        self, configuration: Configuration, dropped: t.Collection[str] = ()
    ) -> None:
        """Update the record ``disruptions`` from the zone's pools record."""
        self._disruptions.read()
        assignments = self._zone.pools.assignments_by_name
        out = {
            name: assignment.pool
            for name, assignment in assignments.items()
            if assignment.state != InstanceState.SERVING
        }
        self._lease.require_valid()
        self._disruptions.change(configuration, out, removed={*assignments, *dropped})

    def _start_steps(self, configuration: Configuration) -> None:
        """Make a plan, claim its budget in ``disruptions`` and start its steps."""
        fleet = self._read_fleet(configuration)
        now_ms = self._clock.now_ms()
        if self._sizing is None or now_ms >= self._next_sizing_ms:
            self._sizing = choose_sizes(build_problem(configuration, fleet))
            self._next_sizing_ms = now_ms + SIZING_INTERVAL_MS
        plan = plan_round(
            configuration,
            fleet,
            self._sizing,
            self._settings.max_list_age_ms,
            self._settings.zone,
        )
        self._next_plan_ms = now_ms + PLAN_INTERVAL_PER_WORKER_MS * len(
            fleet.instances_by_name
        )
        self.plan = plan
        claimed = {
            name: self._zone.pools.assignments_by_name[name].pool
            for name in (*plan.take, *plan.quarantine)
        }
        if claimed:
            self._lease.require_valid()
            self._disruptions.change(configuration, claimed)
        self._zone.write_changes(self._build_changes(plan))
        if plan.recall or plan.drop:
            self._update_disruptions(configuration, plan.drop)
        self._publish(fleet.now_ms)
        self._send_metrics(plan)

    def _build_changes(self, plan: Plan) -> dict[str, InstanceAssignment | None]:
        assignments = self._zone.pools.assignments_by_name
        now_ms = self._now_wall_ms()
        changes: dict[str, InstanceAssignment | None] = dict.fromkeys(plan.drop)
        for name in plan.recall:
            changes[name] = instance_lifecycle.recall(assignments[name], now_ms)
        for name in plan.repair:
            changes[name] = instance_lifecycle.begin_repair(assignments[name], now_ms)
        for name in plan.quarantine:
            changes[name] = instance_lifecycle.quarantine(assignments[name], now_ms)
        for name, target in plan.take.items():
            changes[name] = instance_lifecycle.begin_drain(
                assignments[name], target, now_ms
            )
        return changes

    def _send_metrics(self, plan: Plan) -> None:
        if self._metrics:
            prefix = f"planner.{self._settings.zone}"
            self._metrics.gauge(f"{prefix}.out", len(plan.wave))
            self._metrics.gauge(f"{prefix}.waiting", len(plan.waits_by_name))
            self._metrics.gauge(f"{prefix}.recalled", len(plan.recall))

    def _read_fleet(self, configuration: Configuration) -> Fleet:
        """Read the input of a plan; see ``Disruptions.read`` for the order."""
        self._update_disruptions(configuration)
        out_by_service = self._disruptions.read()
        stored_by_zone = self._records.read_all("pools/")
        usage = self._records.read_all("usage/")
        self._instance_list = self._client.instances()
        tasks_by_name = self._request_tasks(self._zone.pools.assignments_by_name)
        if self._clock.now_ms() >= self._next_sample_ms:
            self._usage.sample(tasks_by_name)
            self._next_sample_ms = self._clock.now_ms() + SAMPLE_INTERVAL_MS
        reports: dict[str, WorkerReport] = {
            name: summarize_worker(configuration, tasks)
            for name, tasks in tasks_by_name.items()
        }
        now_ms = self._now_wall_ms()
        pools_by_zone = {
            zone: parse_zone_pools(record.body)
            for zone, record in stored_by_zone.items()
        }
        pools_by_zone[self._settings.zone] = self._zone.pools
        return build_fleet(
            configuration,
            pools_by_zone,
            self._instance_list,
            now_ms,
            reports,
            sum_usage(
                configuration, (record.body for record in usage.values()), now_ms
            ),
            out_by_service,
        )

    def _publish(self, now_ms: int) -> None:
        """Write the plan for operators and the measured usage for other planners."""
        if self._clock.now_ms() < self._next_publish_ms or self.plan is None:
            return
        self._next_publish_ms = self._clock.now_ms() + PUBLISH_INTERVAL_MS
        bodies = {"plans": {"taken_ms": now_ms, "plan": self.plan.to_json()}}
        if usage := self._usage.to_body(now_ms):
            bodies["usage"] = usage
        for kind, body in bodies.items():
            self._lease.require_valid()
            record_key = f"{kind}/{self._settings.zone}"
            self._records.write(record_key, body, self._records.read(record_key))
