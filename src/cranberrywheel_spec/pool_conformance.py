"""Compares pool records, pool moves and disruptions with the pool moves model."""

import typing as t

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from cranberrywheel.process import instance_lifecycle
from cranberrywheel.process.disruptions import Disruptions
from cranberrywheel.process.fleet_model import (
    InstanceAssignment,
    InstanceState,
    WorkerReport,
)
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.process.zone_record import ZoneRecord
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_spec.conformance import ConformanceMachine
from cranberrywheel_spec.model_execution import CompiledModel, ModelExecution
from cranberrywheel_spec.pool_moves import PLANNERS, pool_moves
from cranberrywheel_standin.platform import Platform

_MODEL = CompiledModel(pool_moves())
_CONFIGURATION = parse_configuration("""\
[deployment]
name = small
[zone z1]
[zone z2]
[pool p]
workers = w1@z1/r1, w2@z2/r2
cores = 8
memory_mb = 1024
[pool x]
workers = w3@z2/r3
cores = 8
memory_mb = 1024
[service s]
pool = p
min_healthy = 1
[service y]
pool = x
min_healthy = 0
""")
_OWN, _OTHER = "w1", "w2"
_STATES = tuple(InstanceState)[:4]


class _Client:
    """Client of the store and the platform; while ``lost``, platform calls time out."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.lost = False
        self.drained = False

    def get(self, key: str, newer_than: int = 0) -> Record | str | None:
        entry = self._platform.get(key)
        if entry and newer_than and entry.revision <= newer_than:
            return "unchanged"
        return Record(key, entry.value, entry.revision) if entry else None

    def put(self, key: str, value: str, expected: int, lease: str = "") -> int:
        status, body = self._platform.put(key, value, expected, lease)
        if status == 412:
            raise StoreConflictError("conflict", "read", body["revision"])
        return body["revision"]

    def control_instance(self, name: str, action: str, fence: int) -> bool:
        if self.lost:
            raise StoreUnavailableError("no answer", "wait")
        if not self._platform.accept_fence(name, fence):
            return False
        self.drained = action != instance_lifecycle.PlatformAction.UNDRAIN
        return True


class _Lease:
    """A lease that is always valid; its holder can be paused after any check."""

    def __init__(self, fence: int) -> None:
        self.fence = fence

    def require_valid(self) -> None:
        """Succeed: the model decides when the lease is valid."""


class _Planner:
    def __init__(self, client: _Client, zone: type[ZoneRecord], fence: int) -> None:
        records = RecordStore(client, f"planner{fence}")
        lease = _Lease(fence)
        self.zone = zone("z1", client, records, lease, ManualClock())
        self.disruptions = Disruptions(records)
        self.empty_row: InstanceAssignment | None = None

    @property
    def row(self) -> InstanceAssignment:
        return self.zone.pools.assignments_by_name[_OWN]


class PoolMachine(ConformanceMachine):
    """Runs two planners of a zone and one of another; the model allows each step."""

    make_zone: t.ClassVar[type[ZoneRecord]] = ZoneRecord
    make_client: t.ClassVar[type[_Client]] = _Client
    advance: t.ClassVar = staticmethod(instance_lifecycle.advance)

    def __init__(self) -> None:
        super().__init__()
        self.client = self.make_client(Platform(now_s=lambda: 0.0))
        self.planners = {
            planner_id: _Planner(self.client, self.make_zone, int(planner_id))
            for planner_id in PLANNERS
        }
        self.other = Disruptions(RecordStore(self.client, "other"))
        self.execution = ModelExecution(_MODEL)

    @classmethod
    def model(cls) -> CompiledModel:
        """Return the model that this machine compares with."""
        return _MODEL

    def list_step_weights(self) -> dict[str, int]:
        found = {"start_task": 1, "end_task": 3, "other_planner": 1}
        # The low weight delays planner 2, so that planner 1 can take some steps first.
        found["claim 1"] = 5
        found["claim 2"] = 1
        weights = {"confirm": 3, "drain": 3, "recall": 1, "advance_own": 4}
        weights |= {"write_empty": 3, "read_list": 1, "check_lease": 2}
        weights |= {"list_own": 2, "remove_own": 2}
        for planner_id in PLANNERS:
            if self.execution.values[f"leads_{planner_id}"]:
                found |= {f"{step} {planner_id}": w for step, w in weights.items()}
                found[f"claim {planner_id}"] = 0
        return found

    def _can(self, name: str) -> bool:
        return name in self.execution.find_enabled_actions()

    def _check(self) -> None:
        values = self.execution.values
        assert self.client.drained == values["drained"]
        for planner_id, planner in self.planners.items():
            if values[f"leads_{planner_id}"]:
                confirmed = planner.zone.confirmation_age_ms(_OWN) is not None
                call = "carries out the call of planner"
                answered = values[f"answered_{planner_id}"]
                assert confirmed <= bool(answered), f"platform {call} {planner_id}"
                state = planner.row.state
                assert state is _STATES[values[f"view_state_{planner_id}"]], state

    def claim(self, planner_id: str) -> None:
        name = f"planner {planner_id} takes the lease and writes its fence"
        if self._can(name):
            self.planners[planner_id].zone.claim(_CONFIGURATION, 0)
            self.execution.take_action(name)
            self._check()

    def confirm(self, planner_id: str) -> None:
        """Repeat the platform call; it may be refused only if the model refuses it."""
        name = f"platform carries out the call of planner {planner_id}"
        zone = self.planners[planner_id].zone
        if (
            not self.execution.values[f"leads_{planner_id}"]
            or zone.confirmation_age_ms(_OWN) is not None
        ):
            return
        if self._can(f"planner {planner_id} repeats its call"):
            self.execution.take_action(f"planner {planner_id} repeats its call")
        allowed = self._can(name)
        try:
            zone.apply_unconfirmed()
        except LeaseLostError:
            assert not allowed
        else:
            self.execution.take_action(name)
        self._check()

    def drain(self, planner_id: str) -> None:
        pool = self.rng.choice(["", "x"])
        values, planner = self.execution.values, self.planners[planner_id]
        stale = values[f"view_revision_{planner_id}"] != values["revision"]
        ready = (
            values[f"knows_listed_{planner_id}"] and values[f"answered_{planner_id}"]
        )
        if values[f"leads_{planner_id}"] and planner.row.state is InstanceState.SERVING:
            if pool != planner.row.pool and (stale or ready):
                self._write(
                    planner_id, instance_lifecycle.begin_drain(planner.row, pool, 0)
                )

    def recall(self, planner_id: str) -> None:
        planner = self.planners[planner_id]
        if self.execution.values[f"leads_{planner_id}"]:
            if planner.row.state is InstanceState.DRAINING:
                self._write(planner_id, instance_lifecycle.recall(planner.row, 0))

    def advance_own(self, planner_id: str) -> None:
        """Poll the worker, then write the next state."""
        planner, values = self.planners[planner_id], self.execution.values
        if (
            not values[f"leads_{planner_id}"]
            or planner.zone.confirmation_age_ms(_OWN) is None
        ):
            return
        report = WorkerReport(running=int(values["running"]))
        row = self.advance(planner.row, report, True, False, 0)
        if row is None:
            return
        if row.state is InstanceState.EMPTY:
            self.execution.take_action(
                f"planner {planner_id} gets a report without tasks"
            )
            planner.empty_row = row
        elif planner.row.state is not InstanceState.SERVING:
            self._write(planner_id, row)

    def write_empty(self, planner_id: str) -> None:
        planner = self.planners[planner_id]
        row, planner.empty_row = planner.empty_row, None
        if row and planner.row.state is InstanceState.DRAINING:
            self._write(planner_id, row)

    def _write(self, planner_id: str, row: InstanceAssignment) -> None:
        """Write an assignment; the platform call that follows is lost."""
        if not self.execution.values[f"in_force_{planner_id}"]:
            return
        # A report is valid only for the state in which it was requested.
        self.planners[planner_id].empty_row = None
        name = f"planner {planner_id} writes {row.state}"
        allowed = self._can(name)
        self.client.lost = True
        try:
            self.planners[planner_id].zone.write_changes({_OWN: row})
        except StoreConflictError:
            assert not allowed, f"{name} was refused"
            return
        except StoreUnavailableError:
            pass
        finally:
            self.client.lost = False
        self.execution.take_action(name)
        if row.state is InstanceState.EMPTY:
            # The instance is still drained from the previous state.
            self.planners[planner_id].zone.apply_unconfirmed()
        self._check()

    def read_list(self, planner_id: str) -> None:
        name = f"planner {planner_id} reads disruptions"
        if self._can(name):
            self.planners[planner_id].disruptions.read()
            self.execution.take_action(name)

    def check_lease(self, planner_id: str) -> None:
        name = f"planner {planner_id} finds its lease valid"
        if self._can(name):
            self.execution.take_action(name)

    def list_own(self, planner_id: str) -> None:
        self._change_list(
            planner_id, f"planner {planner_id} lists the instance", {_OWN: "p"}, []
        )

    def remove_own(self, planner_id: str) -> None:
        name = f"planner {planner_id} removes the instance from the list"
        self._change_list(planner_id, name, {}, [_OWN])

    def _change_list(
        self, planner_id: str, name: str, added: dict[str, str], removed: list[str]
    ) -> None:
        values = self.execution.values
        stale = values[f"list_view_{planner_id}"] != values["list_revision"]
        if not self._can(name) and not (stale and values[f"leads_{planner_id}"]):
            return
        before = self.client.get("disruptions")
        try:
            self.planners[planner_id].disruptions.change(_CONFIGURATION, added, removed)
        except StoreConflictError:
            assert stale, f"{name} was refused"
            return
        if self.client.get("disruptions") != before:
            self.execution.take_action(name)

    def start_task(self) -> None:
        if not self.client.drained:
            self.execution.take_action("entry starts a task")

    def end_task(self) -> None:
        if self._can("task ends"):
            self.execution.take_action("task ends")

    def other_planner(self) -> None:
        """List or remove the instance of the other zone within the budget."""
        listed = {name for names in self.other.read().values() for name in names}
        if _OTHER in listed:
            self.other.change(_CONFIGURATION, {}, [_OTHER])
            self.execution.take_action("other planner admits and removes")
        elif not listed:
            self.other.change(_CONFIGURATION, {_OTHER: "p"})
            self.execution.take_action("other planner lists and drains")
