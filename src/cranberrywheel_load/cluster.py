"""Local deployment of stand-ins, entry instances and planners."""

import configparser
import json
import pathlib
import typing as t

from cranberrywheel.version.configuration import Configuration, parse_configuration
from cranberrywheel_load.cluster_plan import ClusterPlan, EntryEndpoint
from cranberrywheel_load.processes import (
    HOST,
    ManagedProcess,
    find_free_ports,
    stop_all,
    wait_until,
)
from cranberrywheel_load.relay_control import RelayControl
from cranberrywheel_standin.history import HistoryWriter
from cranberrywheel_standin.http_call import NoAnswerError, call_json

#: Long, because tests start many interpreters on a busy machine.
READY_TIMEOUT_S = 60.0
#: Zone name under which relays treat the platform in partitions.
PLATFORM_ZONE = "platform"
#: Longer than an entry instance waits for an unavailable store.
OPERATOR_TIMEOUT_MS = 30_000
OPERATOR_TOKEN = "operator-token-of-a-local-run"


class Cluster:
    """Context manager that starts the processes of a plan and stops them at its exit.

    :param plan: description of the deployment.
    :param folder: temporary folder for settings, logs and histories.
    """

    def __init__(self, plan: ClusterPlan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self.configuration: Configuration = parse_configuration(plan.text)
        self.history = HistoryWriter(str(folder / "load.history"))
        self.processes: dict[str, ManagedProcess] = {}
        self.endpoints: dict[str, EntryEndpoint] = {}
        self.worker_addresses: dict[str, str] = {}
        self.platform_url = ""
        self._platform_urls: dict[str, str] = {}
        self._relay: RelayControl | None = None

    def __enter__(self) -> "Cluster":
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *details: t.Any) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop every process, planners and entry instances first."""
        stopped_last = ("platform", "workers", "relay")
        other_processes = [
            p for n, p in self.processes.items() if n not in stopped_last
        ]
        stop_all(other_processes)
        if self._relay is not None:
            self._relay.close()
        stop_all([p for n, p in self.processes.items() if n in stopped_last])

    def _start(self) -> None:
        if self.plan.with_relays:
            self._relay = RelayControl(self.folder, READY_TIMEOUT_S)
            self.processes["relay"] = self._relay.process
        self._start_platform()
        self._start_workers()
        names = [f"entry-{i + 1}" for i in range(len(self.plan.entry_zones))]
        for name, zone in zip(names, self.plan.entry_zones, strict=True):
            self.add_entry(name, zone)
        for zone in self.plan.planner_zones:
            self.add_planner(zone)
        for name in names:
            self.wait_until_alive(name)

    def _start_process(self, name: str, *arguments: str) -> ManagedProcess:
        process = ManagedProcess(name, arguments, self.folder)
        self.processes[name] = process
        process.start()
        return process

    def _start_platform(self) -> None:
        (port,) = find_free_ports(1)
        history = str(self.folder / "platform.history")
        module = "cranberrywheel_standin.main"
        self._start_process(
            "platform", module, "platform", "--port", str(port), "--history", history
        )
        self.platform_url = f"http://{HOST}:{port}"
        for zone in self.configuration.regions_by_zone:
            relay_port = self._add_relay(port, PLATFORM_ZONE, zone)
            self._platform_urls[zone] = f"http://{HOST}:{relay_port}/view/{zone}"
        self._wait_for_answer(f"{self.platform_url}/v1/counters", "platform")

    def _start_workers(self) -> None:
        workers = list(self.configuration.workers_by_name.values())
        rows = []
        for worker, port in zip(workers, find_free_ports(len(workers)), strict=True):
            self.worker_addresses[worker.name] = f"{HOST}:{port}"
            rows.append(
                {
                    "name": worker.name,
                    "zone": worker.zone,
                    "rack": worker.rack,
                    "port": port,
                    "addresses": {
                        zone: f"{HOST}:{self._add_relay(port, worker.zone, zone)}"
                        for zone in self.configuration.regions_by_zone
                    },
                    "slots": worker.slots,
                    "cores": worker.cores,
                    "memory_mb": worker.memory_mb,
                    **self.plan.worker_fields,
                }
            )
        config = self.folder / "workers.json"
        config.write_text(json.dumps(rows))
        process = self._start_process(
            "workers",
            "cranberrywheel_standin.main",
            "worker",
            "--config",
            str(config),
            "--platform",
            self.platform_url,
            "--history",
            str(self.folder / "workers.history"),
        )
        process.wait_for_log("workers ready", READY_TIMEOUT_S)

    def add_entry(self, name: str, zone: str) -> EntryEndpoint:
        """Start an entry instance on free ports."""
        http_port, peer_port = find_free_ports(2)
        endpoint = EntryEndpoint(
            name=name,
            zone=zone,
            http_port=http_port,
            peer_port=peer_port,
            advertised_peer_port=self._add_relay(peer_port, zone),
        )
        self.endpoints[name] = endpoint
        token_file = self.folder / "operator-token"
        token_file.write_text(OPERATOR_TOKEN)
        values = {
            "instance": name,
            "zone": zone,
            "host": HOST,
            "http_port": http_port,
            "peer_port": peer_port,
            "operator_token_file": token_file,
        }
        if endpoint.advertised_peer_port != peer_port:
            values["advertised_peer_port"] = endpoint.advertised_peer_port
        self._write_settings(name, "entry", values, self.plan.entry_settings)
        self.restart(name)
        return endpoint

    def add_planner(self, zone: str) -> ManagedProcess:
        """Start a planner in a zone."""
        name = f"planner-{zone}"
        values = {"instance": name, "zone": zone}
        self._write_settings(name, "planner", values, self.plan.planner_settings)
        return self._run_program(name, "planner")

    def _write_settings(
        self,
        name: str,
        section: str,
        values: t.Mapping[str, t.Any],
        overrides: t.Mapping[str, t.Mapping[str, t.Any]],
    ) -> None:
        parser = configparser.ConfigParser(interpolation=None)
        platform = {"url": self._platform_urls[values["zone"]]}
        for title, section_values in (
            (section, values),
            ("platform", platform),
            *overrides.items(),
        ):
            if not parser.has_section(title):
                parser.add_section(title)
            for key, value in section_values.items():
                parser.set(title, key, str(value))
        with (self.folder / f"{name}.ini").open("w") as file:
            parser.write(file)

    def _run_program(self, name: str, program: str) -> ManagedProcess:
        settings = str(self.folder / f"{name}.ini")
        process = self._start_process(
            name, f"cranberrywheel.programs.{program}", "--settings", settings
        )
        self._update_relay_owners()
        return process

    def restart(self, name: str) -> None:
        """Start a new process of an entry instance on its previous ports."""
        self._run_program(name, "entry")

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entry instances."""
        return [endpoint.url for endpoint in self.endpoints.values()]

    def wait_until_alive(self, name: str) -> None:
        """Wait until an entry instance answers its health check."""
        self._wait_for_answer(f"{self.endpoints[name].url}/healthz", name)

    def wait_until_ready(self, name: str) -> None:
        """Wait until an entry instance reports that it is ready for calls."""
        url = f"{self.endpoints[name].url}/readyz"
        wait_until(
            lambda: self._status(url) == 200, READY_TIMEOUT_S, f"{name} is ready"
        )

    def _wait_for_answer(self, url: str, name: str) -> None:
        process = self.processes[name]

        def is_answering() -> bool:
            if not process.is_running():
                raise RuntimeError(f"{name} exited:\n{process.read_log()[-4000:]}")
            return self._status(url) == 200

        wait_until(is_answering, READY_TIMEOUT_S, f"{name} answers")

    @staticmethod
    def _status(url: str) -> int:
        try:
            return call_json("GET", url)[0]
        except NoAnswerError:
            return 0

    def call_as_operator(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        headers: t.Sequence[str] = (),
        entry: str = "",
    ) -> tuple[int, t.Any]:
        """Send a request with the operator token to an entry instance.

        :param entry: name of the instance; ``""`` for the first one.
        """
        endpoint = (
            self.endpoints[entry] if entry else next(iter(self.endpoints.values()))
        )
        token = f"Authorization: Bearer {OPERATOR_TOKEN}"
        return call_json(
            method, endpoint.url + path, body, (token, *headers), OPERATOR_TIMEOUT_MS
        )

    def apply_configuration(self, text: str) -> int:
        """Apply a configuration text and wait until every instance has adopted it.

        :returns: the text version.
        :raises RuntimeError: if the instance refuses the text.
        """
        _, shown = self.call_as_operator("GET", "/v1/configuration")
        match = f'If-Match: "{shown["text_version"]}"'
        status, answer = self.call_as_operator(
            "PUT", "/v1/configuration", text, (match,)
        )
        if status != 200:
            raise RuntimeError(f"configuration refused with {status}: {answer}")
        for team in parse_configuration(text).teams_by_name.values():
            self.history.write("limit", team=team.name, limit=team.limit)
        version = int(answer["text_version"])
        self.wait_for_configuration(lambda shown: shown["text_version"] >= version)
        return version

    def grant_key(self, team: str) -> str:
        """Create a key for a team.

        :returns: the whole key, with its secret.
        :raises RuntimeError: if the instance refuses to create it.
        """
        status, answer = self.call_as_operator("POST", "/v1/keys", {"team": team})
        if status != 201:
            raise RuntimeError(f"key for {team} refused with {status}: {answer}")
        return str(answer["key"])

    def grant_keys(self) -> dict[str, str]:
        """Create a key for each team and wait until every instance has them all.

        :returns: whole keys by team.
        """
        keys = {team: self.grant_key(team) for team in self.configuration.teams_by_name}
        self.wait_for_configuration(lambda shown: len(shown["keys"]) >= len(keys))
        return keys

    def wait_for_configuration(self, matches: t.Callable[[t.Any], bool]) -> None:
        """Wait until the configuration reported by each instance matches.

        :param matches: condition on the body of ``GET /v1/configuration``.
        """
        for name in self.endpoints:
            wait_until(
                lambda name=name: matches(
                    self.call_as_operator("GET", "/v1/configuration", entry=name)[1]
                ),
                READY_TIMEOUT_S,
                f"{name} has the new configuration",
            )

    def wait_for_quota_units(self) -> None:
        """Wait until every instance has a usable quota unit of every team."""

        def has_quota_units(name: str) -> bool:
            _, status = self.call_as_operator("GET", "/v1/status", entry=name)
            usable = status["units_usable_by_team"].values()
            return bool(usable) and min(usable) > 0

        for name in self.endpoints:
            wait_until(
                lambda name=name: has_quota_units(name),
                READY_TIMEOUT_S,
                f"{name} has quota units",
            )

    def set_platform_faults(self, **faults: t.Any) -> None:
        """Replace the injected faults of the platform stand-in."""
        call_json("PUT", f"{self.platform_url}/v1/faults", faults)

    def set_worker_faults(self, worker: str, **faults: t.Any) -> None:
        """Replace the injected faults of one worker stand-in."""
        url = f"http://{self.worker_addresses[worker]}/v1/faults"
        call_json("PUT", url, faults)

    def partition(self, zone: str) -> None:
        """Isolate a zone from all other zones and from the platform."""
        others = {*self.configuration.regions_by_zone, PLATFORM_ZONE} - {zone}
        self._require_relays().set_cut((zone, other) for other in sorted(others))

    def heal(self) -> None:
        """End all partitions."""
        self._require_relays().set_cut(())

    def get_relayed_bytes(self) -> dict[int, int]:
        """Return the payload bytes that the relays have forwarded, by target port."""
        return self._require_relays().get_relayed_bytes()

    def _require_relays(self) -> RelayControl:
        if self._relay is None:
            raise RuntimeError("the plan has no relays; set with_relays=True")
        return self._relay

    def _add_relay(self, port: int, zone: str, source_zone: str = "") -> int:
        """Start a relay to a port if the plan has relays.

        :param zone: zone of the listening process.
        :param source_zone: zone whose processes use the relay; ``""`` for all zones.
        :returns: the port to connect to: the relay's, or ``port`` itself if the plan
            has no relays or both ends are in one zone.
        """
        if self._relay is None or source_zone == zone:
            return port
        return self._relay.add(port, zone, source_zone)

    def _update_relay_owners(self) -> None:
        if self._relay is None:
            return
        zones = {endpoint.name: endpoint.zone for endpoint in self.endpoints.values()}
        zones |= {f"planner-{zone}": zone for zone in self.plan.planner_zones}
        zones["platform"] = PLATFORM_ZONE
        self._relay.set_zones_by_pid(
            {
                process.pid: zones[name]
                for name, process in self.processes.items()
                if name in zones and process.is_running()
            }
        )
