"""Command line of the load tool: ``cranberrywheel-load``."""

import dataclasses
import json
import pathlib
import random
import typing as t

from absl import logging
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_load.burst_load import PLANS
from cranberrywheel_load.burst_policies import POLICIES, format_table, replay_policy
from cranberrywheel_load.driver import LoadDriver, monotonic_ms
from cranberrywheel_load.experiment import ExperimentPlan, run_experiment
from cranberrywheel_load.faults import SCENARIOS
from cranberrywheel_load.pattern import LoadPlan, plan_arrivals
from cranberrywheel_load.report import format_queue_table, summarize, write_json
from cranberrywheel_load.soak import (
    ADVISOR_FAULT_KINDS,
    FAULT_KINDS,
    LATE_FAULT_KINDS,
    SoakPlan,
    SoakSize,
    run_soak,
)
from cranberrywheel_standin.history import HistoryWriter

#: Time after the end of the arrivals for which the driver waits for answers.
ANSWER_WAIT_MS = 20_000
EXIT_USAGE = 2


def read_keys(path: str) -> dict[str, str]:
    """Read a file of ``team key`` lines and return the keys by team."""
    lines = pathlib.Path(path).read_text().splitlines()
    return dict(line.split(None, 1) for line in lines if line.strip())


def read_weights(text: str) -> dict[str, float]:
    """Parse ``team=weight,...`` and return the weights by team."""
    pairs = (part.partition("=") for part in text.split(",") if part)
    return {team: float(weight) for team, _, weight in pairs}


def _create_option(name: str, description: str, default: str | None = None) -> t.Any:
    return option(name, None, description, flag=False, default=default)


class RunCommand(Command):
    """Sends the calls of one plan to running entry instances."""

    name = "run"
    description = "Drive entry instances with bursts, cancellations and retries."
    options = [
        _create_option("entries", "Base URLs, separated by commas."),
        _create_option("configuration", "Configuration text with queues and teams."),
        _create_option("keys", "File of 'team key' lines."),
        _create_option("seconds", "Length of the run.", "30"),
        _create_option("surge-seconds", "Length of one queue's burst.", "3"),
        _create_option("scale", "Factor on the mean rates.", "1"),
        _create_option("cancel", "Fraction of the calls that are cancelled.", "0.6"),
        _create_option("repeat", "Fraction of ticketed calls sent twice.", "0.1"),
        _create_option(
            "mix", "Weights as team=weight,...; default: the teams' shares.", ""
        ),
        _create_option(
            "queues", "Queues to use, separated by commas; default: all.", ""
        ),
        _create_option("max-calls", "Maximum number of calls.", "100000"),
        _create_option("seed", "Seed of the random choices.", "1"),
        _create_option("json", "File for the summary and each call."),
        _create_option("history", "History file to write.", ""),
    ]

    def handle(self) -> int:
        text = pathlib.Path(self.option("configuration")).read_text()
        configuration = parse_configuration(text)
        seed = int(self.option("seed"))
        rng = random.Random(seed)
        plan = LoadPlan(
            duration_ms=round(float(self.option("seconds")) * 1000),
            burst_ms=round(float(self.option("surge-seconds")) * 1000),
            scale=float(self.option("scale")),
            cancel_fraction=float(self.option("cancel")),
            repeat_fraction=float(self.option("repeat")),
            max_calls=int(self.option("max-calls")),
            queues=tuple(filter(None, self.option("queues").split(","))),
            weights_by_team=read_weights(self.option("mix")),
        )
        keys = read_keys(self.option("keys")) if self.option("keys") else {}
        history = HistoryWriter(self.option("history"))
        history.write("meta", seed=seed)
        arrivals = plan_arrivals(configuration, plan, rng)
        self.line(f"seed={seed} calls={len(arrivals)}")
        entries = self.option("entries").split(",")
        driver = LoadDriver(
            lambda: rng.choice(entries), configuration, keys, rng, history
        )
        driver.run(arrivals, monotonic_ms() + plan.duration_ms + ANSWER_WAIT_MS)
        summary = {"seed": seed, **summarize(driver.results)}
        self.line(format_queue_table(summary))
        self.line(f"useful/offered={summary['useful_over_offered']:.3f}")
        if self.option("json"):
            write_json(self.option("json"), summary, driver.results)
        return 0


class ReplayCommand(Command):
    """Replays bursts in virtual time under several policies."""

    name = "replay"
    description = "Replay bursts on the scheduler in virtual time; compare policies."
    help = "Example: cranberrywheel-load replay --plan six-zones-large --seeds 3"
    options = [
        _create_option("plan", f"One of {', '.join(PLANS)}.", "four-zones-grown"),
        _create_option("policies", "Separated by commas.", ",".join(POLICIES)),
        _create_option("seeds", "Number of seeds, from 1.", "3"),
        _create_option("json", "File for the figures."),
    ]

    def handle(self) -> int:
        plan = self.option("plan")
        policies = self.option("policies").split(",")
        unknown = sorted(set(policies) - POLICIES.keys())
        seed_count = self.option("seeds")
        problems = []
        if plan not in PLANS:
            problems.append(f"unknown plan {plan!r}; use one of {', '.join(PLANS)}")
        if unknown:
            names = ", ".join(unknown)
            problems.append(f"unknown policies {names}; use {', '.join(POLICIES)}")
        if not seed_count.isdecimal() or int(seed_count) < 1:
            problems.append(f"--seeds is {seed_count!r}; use a number from 1")
        for problem in problems:
            self.line_error(problem)
        if problems:
            return EXIT_USAGE
        logging.set_verbosity(logging.ERROR)
        seeds = range(1, int(seed_count) + 1)
        rows = {policy: replay_policy(policy, plan, seeds) for policy in policies}
        self.line(f"plan={plan} seeds={list(seeds)}")
        self.line(format_table(rows))
        if self.option("json"):
            figures = {name: dataclasses.asdict(row) for name, row in rows.items()}
            pathlib.Path(self.option("json")).write_text(json.dumps(figures, indent=2))
        return 0


class ExperimentCommand(Command):
    """Measures a local deployment under each fault scenario."""

    name = "experiment"
    description = "Run the same load under each fault scenario and print a table."
    options = [
        _create_option(
            "configuration", "Configuration text.", "examples/kayis-birligi.ini"
        ),
        _create_option(
            "rows", "Scenario names, separated by commas; default: all.", ""
        ),
        _create_option("seconds", "Length of each scenario's load.", "30"),
        _create_option("surge-seconds", "Length of one queue's burst.", "3"),
        _create_option("scale", "Factor on the mean rates.", "0.25"),
        _create_option(
            "time-scale", "Factor on outage and quota lease times.", "0.16667"
        ),
        _create_option("seed", "Seed of the random choices.", "1"),
        _create_option(
            "folder", "Folder to create for logs and histories.", "experiment"
        ),
        _create_option("json", "File for the figures."),
    ]

    def handle(self) -> int:
        selected = tuple(filter(None, self.option("rows").split(",")))
        unknown = set(selected) - {scenario.name for scenario in SCENARIOS}
        if unknown:
            self.line_error(f"<error>unknown scenarios: {', '.join(unknown)}</error>")
            return EXIT_USAGE
        plan = ExperimentPlan(
            text=pathlib.Path(self.option("configuration")).read_text(),
            time_scale=float(self.option("time-scale")),
            load=LoadPlan(
                duration_ms=round(float(self.option("seconds")) * 1000),
                burst_ms=round(float(self.option("surge-seconds")) * 1000),
                scale=float(self.option("scale")),
            ),
            seed=int(self.option("seed")),
            folder=pathlib.Path(self.option("folder")),
        )
        scenarios = [x for x in SCENARIOS if not selected or x.name in selected]
        figures = run_experiment(plan, scenarios, self.line)
        if self.option("json"):
            data = {name: dataclasses.asdict(f) for name, f in figures.items()}
            pathlib.Path(self.option("json")).write_text(json.dumps(data, indent=1))
        return 1 if any(f.violations for f in figures.values()) else 0


class SoakCommand(Command):
    """Injects random faults into node processes and checks the guarantees."""

    name = "soak"
    description = "Run nodes under random faults; exit 1 if a guarantee is violated."
    help = "Example: cranberrywheel-load soak --seed 1 --seeds 10 --seconds 12"
    options = [
        _create_option("seed", "First seed.", "1"),
        _create_option("seeds", "Number of consecutive seeds to run.", "1"),
        _create_option("seconds", "Length of the fault period of each seed.", "12"),
        _create_option("submissions", "Number of submissions of each seed.", "40"),
        _create_option("nodes", "Number of node processes.", "3"),
        _create_option("executors", "Number of simulated executors.", "4"),
        _create_option("folder", "Folder for settings and logs.", "soak"),
        option(
            "late-calls", None, "Also let calls without an answer take effect late."
        ),
        option(
            "advised",
            None,
            "Use three queues with an advisor, and disturb the calls to it.",
        ),
    ]

    def handle(self) -> int:
        failed_seeds = 0
        late_kinds = LATE_FAULT_KINDS if self.option("late-calls") else ()
        kinds = ADVISOR_FAULT_KINDS if self.option("advised") else FAULT_KINDS
        advised_queues = 3 if self.option("advised") else 0
        first = int(self.option("seed"))
        for seed in range(first, first + int(self.option("seeds"))):
            folder = pathlib.Path(self.option("folder")) / f"seed-{seed}"
            plan = SoakPlan(
                seed,
                float(self.option("seconds")),
                int(self.option("submissions")),
                folder,
                SoakSize(
                    int(self.option("nodes")),
                    int(self.option("executors")),
                    advised_queues=advised_queues,
                ),
                kinds + late_kinds,
            )
            faults: list[str] = []
            violations = run_soak(plan, faults.append)
            self.line(f"seed={seed} faults={len(faults)} broken={len(violations)}")
            for line in (*faults, *violations) if violations else ():
                self.line(f"  {line}")
            failed_seeds += bool(violations)
        return 1 if failed_seeds else 0


def main() -> None:
    """Run the command line."""
    application = Application("cranberrywheel-load")
    application.add(RunCommand())
    application.add(ReplayCommand())
    application.add(ExperimentCommand())
    application.add(SoakCommand())
    application.run()


if __name__ == "__main__":
    main()
