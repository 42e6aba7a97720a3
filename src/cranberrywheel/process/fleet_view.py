"""An entry process's view of the fleet: workers, pools and peers."""

import dataclasses
import typing as t

from cranberrywheel.connection.store_client import Instance, InstanceList
from cranberrywheel.process import messages
from cranberrywheel.process.worker_table import WorkerRow, WorkerTable
from cranberrywheel.version.configuration import Configuration

SERVING = "serving"


class FleetView:
    """Combines the configuration, pool records, instance list and peer reports.

    :param process_id: id of this process.
    :param workers: worker table that this view keeps up to date.
    """

    def __init__(self, process_id: str, workers: WorkerTable) -> None:
        self._process_id = process_id
        self._workers = workers
        self._configuration: Configuration | None = None
        self._revision_by_zone: dict[str, int] = {}
        self._assignments_by_zone: dict[str, tuple[messages.PoolAssignment, ...]] = {}
        self._bodies_by_zone: dict[str, dict[str, t.Any]] = {}
        self._instance_list = InstanceList(0, 0, ())
        self._instances_by_id: dict[str, Instance] = {}
        self._refused_as_leaving: set[str] = set()
        self._peers_by_id: dict[str, messages.PeerReport] = {}
        #: Idle quota units by peer and team, less those reserved here since the
        #: peer's last report.
        self._idle_units: dict[tuple[str, str], int] = {}
        self._own_running_counts: dict[tuple[str, str], int] = {}
        self._slots_by_pool: dict[str, int] = {}
        self.shares_by_team: dict[str, float] = {}
        self.use_by_team: dict[str, int] = {}

    @property
    def entry_count(self) -> int:
        """Number of entry processes that are not stopping, including this one."""
        return 1 + sum(not peer.stopping for peer in self._peers_by_id.values())

    def set_configuration(self, configuration: Configuration) -> None:
        """Use a new version of the configuration."""
        self._configuration = configuration
        self.shares_by_team = {
            team.name: team.share for team in configuration.teams_by_name.values()
        }
        self._refresh_workers()

    def set_pools(self, message: messages.PoolsChanged) -> None:
        """Use a ``pools/<zone>`` record if it is newer than the present one."""
        zone = message.zone
        if message.revision <= self._revision_by_zone.get(zone, 0):
            return
        self._revision_by_zone[zone] = message.revision
        self._assignments_by_zone[zone] = message.rows
        self._bodies_by_zone[zone] = message.body
        self._refresh_workers()

    def set_instances(self, instance_list: InstanceList) -> None:
        """Use a new instance list.

        A list of the same revision is unchanged. Then only the workers that refused a
        start are reset, because the list did not confirm that they leave.
        """
        if instance_list.revision == self._instance_list.revision:
            if self._refused_as_leaving:
                self._refused_as_leaving.clear()
                self._update_leaving()
            return
        self._instance_list = instance_list
        self._instances_by_id = {
            instance.instance_id: instance
            for instance in instance_list.instances
            if instance.kind == "worker"
        }
        self._refused_as_leaving.clear()
        self._refresh_workers()

    def mark_leaving(self, worker: str) -> None:
        """Mark a worker as leaving because it refused a start while draining."""
        self._refused_as_leaving.add(worker)
        self._update_leaving()

    def _list_assignments(self) -> dict[str, messages.PoolAssignment]:
        """Return pool and state by worker, from pool records or else as declared."""
        assert self._configuration is not None
        assignments = {
            worker.name: messages.PoolAssignment(worker.name, worker.pool, SERVING)
            for worker in self._configuration.workers_by_name.values()
            if worker.zone not in self._assignments_by_zone
        }
        for zone_assignments in self._assignments_by_zone.values():
            assignments.update(
                {assignment.worker: assignment for assignment in zone_assignments}
            )
        return assignments

    def _refresh_workers(self) -> None:
        if self._configuration is None:
            return
        rows = []
        slots_by_pool: dict[str, int] = {}
        for assignment in self._list_assignments().values():
            instance = self._instances_by_id.get(assignment.worker)
            pool = self._configuration.pools_by_name.get(assignment.pool)
            if instance is None or pool is None:
                continue
            rows.append(
                WorkerRow(
                    name=assignment.worker,
                    address=instance.address,
                    zone=instance.zone,
                    rack=instance.rack,
                    pool=assignment.pool,
                    slots=pool.slots_per_executor,
                    serving=assignment.state == SERVING,
                )
            )
            if assignment.state == SERVING:
                slots = slots_by_pool.get(assignment.pool, 0)
                slots_by_pool[assignment.pool] = slots + pool.slots_per_executor
        self._slots_by_pool = slots_by_pool
        self._workers.set_workers(rows)
        self._update_leaving()
        self._update_ejection_limits(rows)

    def _update_leaving(self) -> None:
        leaving = {
            instance.instance_id
            for instance in self._instances_by_id.values()
            if instance.leaving
        }
        for peer in self._peers_by_id.values():
            leaving.update(peer.leaving_instances)
        self._workers.set_leaving(leaving | self._refused_as_leaving)

    def _update_ejection_limits(self, rows: list[WorkerRow]) -> None:
        assert self._configuration is not None
        serving_by_pool: dict[str, int] = {}
        for row in rows:
            if row.serving:
                serving_by_pool[row.pool] = serving_by_pool.get(row.pool, 0) + 1
        min_healthy_by_pool: dict[str, int] = {}
        for service in self._configuration.services_by_name.values():
            largest_min_healthy = min_healthy_by_pool.get(service.pool, 0)
            min_healthy_by_pool[service.pool] = max(
                largest_min_healthy, service.min_healthy
            )
        for pool, min_healthy in min_healthy_by_pool.items():
            removable = serving_by_pool.get(pool, 0) - min_healthy
            self._workers.set_ejection_limit(pool, max(0, removable))

    def set_peer(self, report: messages.PeerReport) -> None:
        """Use a peer's report."""
        previous_report = self._peers_by_id.get(report.process_id)
        self._peers_by_id[report.process_id] = report
        self._workers.set_peer_load(report.process_id, report.in_flight_by_worker)
        self._clear_idle_units(report.process_id)
        if not report.stopping:
            for load in report.loads:
                if load.idle_units:
                    self._idle_units[report.process_id, load.team] = load.idle_units
        if (
            previous_report is None
            or previous_report.leaving_instances != report.leaving_instances
        ):
            self._update_leaving()
        self._update_use_by_team()

    def _clear_idle_units(self, process_id: str) -> None:
        for key in [key for key in self._idle_units if key[0] == process_id]:
            del self._idle_units[key]

    def drop_peer(self, process_id: str) -> None:
        """Remove a peer that no longer sends reports."""
        self._clear_idle_units(process_id)
        if self._peers_by_id.pop(process_id, None):
            self._workers.drop_peer(process_id)
            self._update_leaving()
            self._update_use_by_team()

    def peer_address(self, process_id: str) -> str:
        """Return the peer address of a process, or ``""`` if it is not known."""
        report = self._peers_by_id.get(process_id)
        return report.peer_address if report else ""

    def reserve_idle_unit(self, team: str) -> str:
        """Find a peer with an idle quota unit of a team and count the unit as used.

        :returns: the peer's address, or ``""`` if no peer has an idle unit.
        """
        key = max(
            (key for key in self._idle_units if key[1] == team),
            key=lambda key: self._idle_units[key],
            default=None,
        )
        if key is None or self._idle_units[key] <= 0:
            return ""
        self._idle_units[key] -= 1
        return self.peer_address(key[0])

    def list_peer_ids(self) -> list[str]:
        """Return the ids of all peers that send reports."""
        return sorted(self._peers_by_id)

    def count_task_start(self, team: str, service: str) -> None:
        """Count the start of a task of this process."""
        key = (team, service)
        self._own_running_counts[key] = self._own_running_counts.get(key, 0) + 1
        self.use_by_team[team] = self.use_by_team.get(team, 0) + 1

    def count_task_end(self, team: str, service: str) -> None:
        """Count the end of a task of this process."""
        key = (team, service)
        self._own_running_counts[key] = self._own_running_counts.get(key, 0) - 1
        self.use_by_team[team] = self.use_by_team.get(team, 0) - 1

    def _update_use_by_team(self) -> None:
        running_by_team: dict[str, int] = {}
        for (team, _), count in self._own_running_counts.items():
            running_by_team[team] = running_by_team.get(team, 0) + count
        for report in self._peers_by_id.values():
            for load in report.loads:
                running_by_team[load.team] = (
                    running_by_team.get(load.team, 0) + load.running
                )
        self.use_by_team = running_by_team

    def count_serving_slots(self, pool: str) -> int:
        """Return the number of slots of a pool's serving workers."""
        return self._slots_by_pool.get(pool, 0)

    def describe(self) -> dict[str, t.Any]:
        """Return the pool records and the instance list as JSON-ready values."""
        return {
            "pools_by_zone": self._bodies_by_zone,
            "instance_list": dataclasses.asdict(self._instance_list),
        }

    def build_pool_status(self) -> dict[str, t.Any]:
        """Return the number of workers by pool and state as JSON-ready values."""
        status: dict[str, dict[str, int]] = {}
        if self._configuration is not None:
            for assignment in self._list_assignments().values():
                states = status.setdefault(assignment.pool, {})
                is_listed = assignment.worker in self._instances_by_id
                state = assignment.state if is_listed else "unlisted"
                states[state] = states.get(state, 0) + 1
        return status

    def build_load_report(
        self,
        queued_by_service: t.Mapping[str, t.Mapping[str, int]],
        idle_units_by_team: t.Mapping[str, int],
        stopping: bool,
    ) -> messages.LoadReport:
        """Build the load report for the next exchange with peers.

        :param queued_by_service: queued requests by service, then by team.
        :param idle_units_by_team: idle quota units of this process.
        :param stopping: whether this process shuts down.
        """
        loads: dict[tuple[str, str], list[int]] = {
            key: [count, 0, 0]
            for key, count in self._own_running_counts.items()
            if count
        }
        for service, queued in queued_by_service.items():
            for team, count in queued.items():
                loads.setdefault((team, service), [0, 0, 0])[1] = count
        for team, idle_units in idle_units_by_team.items():
            if idle_units:
                loads.setdefault((team, ""), [0, 0, 0])[2] = idle_units
        own_leaving = {
            instance.instance_id
            for instance in self._instances_by_id.values()
            if instance.leaving
        }
        return messages.LoadReport(
            loads=tuple(
                messages.PeerLoad(team, service, *counts)
                for (team, service), counts in sorted(loads.items())
            ),
            in_flight_by_worker=self._workers.in_flight_by_worker(),
            leaving_instances=tuple(sorted(own_leaving | self._refused_as_leaving)),
            stopping=stopping,
        )
