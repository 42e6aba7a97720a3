"""Demonstration of a local deployment; ``scripts/demo`` runs it."""

import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing as t

from cranberrywheel_load.cluster import Cluster
from cranberrywheel_load.cluster_plan import ClusterPlan
from cranberrywheel_load.driver import LoadDriver, monotonic_ms
from cranberrywheel_load.pattern import LoadPlan, plan_arrivals
from cranberrywheel_load.processes import WaitTimeoutError, wait_until
from cranberrywheel_load.report import format_queue_table, summarize
from cranberrywheel_standin.http_call import call_json

EXAMPLE_PATH = (
    pathlib.Path(__file__).parents[2].joinpath("examples", "maclachlan-rennie.ini")
)
ZONES = ("glasgow", "edinburgh", "stirling")
SEED = 1
#: Timeout of each step; keeps the whole demo below one minute.
STEP_TIMEOUT_S = 12.0
REVOCATION_TIMEOUT_S = 10.0
LOAD = LoadPlan(duration_ms=4_000, burst_ms=1_000, scale=0.3, cancel_fraction=0.6)
OLD_LIMIT_TEXT, NEW_LIMIT_TEXT = "share = 0.15\nlimit = 64", "share = 0.15\nlimit = 80"


class Demo:
    """Actions of the demo, which print what they do.

    :param cluster: the running deployment.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._started_s = time.monotonic()

    def print_heading(self, text: str) -> None:
        """Print a heading with the time since the start of the demo."""
        print(f"\n[{time.monotonic() - self._started_s:5.1f} s] {text}", flush=True)

    def run_operator_command(
        self, *arguments: str, instances: int | None = None
    ) -> str:
        """Run the ``cranberrywheel`` command and print its arguments and output.

        :param instances: number of entry instances passed to it; default: all.
        :returns: its standard output.
        """
        print("$ cranberrywheel " + " ".join(arguments), flush=True)
        urls = self.cluster.entry_urls()[:instances]
        entries = [x for url in urls for x in ("--entry", url)]
        token_file = str(self.cluster.folder / "operator-token")
        completed = subprocess.run(
            [sys.executable, "-m", "cranberrywheel.programs.operator", *arguments]
            + [*entries, "--token-file", token_file],
            capture_output=True,
            text=True,
            timeout=STEP_TIMEOUT_S * 2,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        print(
            "  " + (completed.stdout + completed.stderr).strip().replace("\n", "\n  ")
        )
        return completed.stdout.strip()

    def send_call(self, queue: str, key: str, ticket: str = "") -> tuple[int, t.Any]:
        """Send one call with a team key and print its answer."""
        headers = [f"Authorization: Bearer {key}"]
        headers += [f"Idempotency-Key: {ticket}"] if ticket else []
        url = self.cluster.entry_urls()[0]
        body = {"request": f"demo-{queue}"}
        status, answer = call_json("POST", f"{url}/v1/queues/{queue}", body, headers)
        shown_fields = {
            k: answer[k] for k in ("worker", "kind", "outcome") if k in answer
        }
        print(f"  {queue}: {status} {shown_fields}", flush=True)
        return status, answer

    def request_ticket(self, queue: str, key: str) -> str:
        """Request one ticket and return it."""
        url = self.cluster.entry_urls()[0] + "/v1/tickets"
        headers = [f"Authorization: Bearer {key}"]
        return str(call_json("POST", url, {"queue": queue}, headers)[1]["tickets"][0])

    def read_zone_pools(self, zone: str) -> dict[str, t.Any]:
        """Return the body of the stored ``pools/<zone>``; empty if it is absent."""
        url = f"{self.cluster.platform_url}/v1/kv/pools/{zone}"
        status, answer = call_json("GET", url)
        return dict(json.loads(answer["value"])["body"]) if status == 200 else {}

    def apply_configuration(self, text: str, name: str) -> None:
        """Apply a configuration text with the ``cranberrywheel`` command.

        :param name: name of the file to which the text is written.
        """
        path = self.cluster.folder / name
        path.write_text(text)
        self.run_operator_command("apply", str(path))


def show_keys(demo: Demo) -> dict[str, str]:
    """Create keys, send calls, revoke one key and wait until it is refused.

    :returns: whole keys by team.
    """
    demo.print_heading(
        "Two teams get keys and send calls; school-reorders needs a ticket."
    )
    keys = {
        x: demo.run_operator_command("grant", x)
        for x in ("highland-schools", "depot-drivers")
    }
    schools = keys["highland-schools"]
    wait_until(
        lambda: demo.send_call("route-sheets", schools)[0] == 200,
        STEP_TIMEOUT_S,
        "first call",
    )
    ticket = demo.request_ticket("school-reorders", schools)
    demo.send_call("school-reorders", schools, ticket)
    demo.send_call("school-reorders", schools)
    demo.print_heading("The key of depot-drivers is revoked.")
    demo.run_operator_command("withdraw", keys["depot-drivers"].partition(".")[0])
    wait_until(
        lambda: demo.send_call("route-sheets", keys["depot-drivers"])[0] == 401,
        REVOCATION_TIMEOUT_S,
        "revoked key is refused",
    )
    return keys


def show_load(demo: Demo) -> None:
    """Send bursts of calls from every team and cancel most of them."""
    demo.print_heading(
        f"Four seconds of bursts, six calls in ten cancelled; seed={SEED}."
    )
    cluster, rng = demo.cluster, random.Random(SEED)
    keys = cluster.grant_keys()
    urls = cluster.entry_urls()
    driver = LoadDriver(
        lambda: rng.choice(urls), cluster.configuration, keys, rng, cluster.history
    )
    arrivals = plan_arrivals(cluster.configuration, LOAD, rng)
    driver.run(arrivals, monotonic_ms() + LOAD.duration_ms + 4_000)
    print("  " + format_queue_table(summarize(driver.results)).replace("\n", "\n  "))


def show_limit_change(demo: Demo) -> None:
    """Raise one team's limit in the configuration text and apply it."""
    demo.print_heading(
        "The limit of depot-drivers is raised in the configuration text."
    )
    text = EXAMPLE_PATH.read_text()
    demo.apply_configuration(
        text.replace(OLD_LIMIT_TEXT, NEW_LIMIT_TEXT), "higher-limit.ini"
    )


def show_planner(demo: Demo) -> None:
    """Start the planners and wait for a moved worker and a reboot in a wave."""
    demo.print_heading(
        "Planners start: they spread pools over the zones and reboot workers."
    )
    for zone in ZONES:
        demo.cluster.add_planner(zone)
    declared = demo.cluster.configuration.workers_by_name

    def list_moved_workers() -> list[str]:
        rows = [
            r
            for z in ZONES
            for r in demo.read_zone_pools(z).get("instances", {}).items()
        ]
        return [
            f"{name}: {declared[name].pool} -> {row['pool']}"
            for name, row in rows
            if row["pool"] != declared[name].pool and row["state"] == "serving"
        ]

    def list_maintained_workers() -> list[str]:
        return [
            x
            for zone in ZONES
            for x in demo.read_zone_pools(zone).get("maintained", {})
        ]

    for what, find in (
        ("moved", list_moved_workers),
        ("rebooted in a wave", list_maintained_workers),
    ):
        try:
            print(f"  {what}: {', '.join(wait_until(find, STEP_TIMEOUT_S, what))}")
        except WaitTimeoutError as error:
            print(f"  {error}")
    demo.run_operator_command("status", instances=1)


def main() -> None:
    """Run the demo in a temporary folder."""
    plan = ClusterPlan(
        text=EXAMPLE_PATH.read_text(),
        entry_zones=ZONES,
        planner_settings={"planner": {"interval_ms": 500}},
    )
    print(f"Starting 40 workers, a platform and entry instances in {', '.join(ZONES)}.")
    with (
        tempfile.TemporaryDirectory(prefix="cranberrywheel-demo-") as folder,
        Cluster(plan, pathlib.Path(folder)) as cluster,
    ):
        demo = Demo(cluster)
        demo.print_heading("The operators apply the configuration text.")
        demo.apply_configuration(plan.text, EXAMPLE_PATH.name)
        show_keys(demo)
        show_load(demo)
        show_limit_change(demo)
        show_planner(demo)
        demo.print_heading("The deployment stops.")


if __name__ == "__main__":
    main()
