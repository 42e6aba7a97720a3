"""Measures which part of each team's limit stays usable during failures.

Entries run the real store session, peer exchange and quota ledger on a manual clock.
"""

import collections.abc
import dataclasses
import pathlib
import sys
import typing as t

from absl import logging
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argv_input import ArgvInput

from cranberrywheel.settings import QuotaSettings
from cranberrywheel.version.configuration import Configuration, parse_configuration
from cranberrywheel_load.entry_group import EntryGroup, SimulatedEntry

ENTRY_COUNT = 7
#: Delay between the starts of two entries. Their leases are then renewed at different
#: times, so that an outage finds leases of different ages.
ENTRY_START_INTERVAL_MS = 4_000
STABILIZATION_MS = 60_000
#: Delays before an outage starts. They span the longest interval between two lease
#: renewals in any variant but the single lease.
OUTAGE_DELAYS_MS = tuple(range(0, 50_000, 10_000))
PARTITION_MS = 600_000
REPLACE_INTERVAL_MS = 1_800_000
HOUR_MS = 3_600_000
#: Step of the two-hour runs; the others step by 1 s.
REPLACEMENT_STEP_MS = 5_000

VARIANTS: dict[str, QuotaSettings] = {
    "long_fraction 0": QuotaSettings(long_fraction=0),
    "long_fraction 0.5": QuotaSettings(long_fraction=0.5),
    "long_fraction 1": QuotaSettings(long_fraction=1),
    "0.5, short hold 90 s": QuotaSettings(short_hold_ms=90_000),
    "single lease, 10 min": QuotaSettings(long_fraction=0, short_hold_ms=600_000),
}

#: Usable units in percent of the limit, by team.
PercentByTeam = dict[str, float]


@dataclasses.dataclass(frozen=True)
class ScenarioResult:
    """Usable part of each team's limit in one scenario, in percent.

    :param scenario: failure and statistic, as printed.
    :param variant: key of ``VARIANTS``.
    """

    scenario: str
    variant: str
    percent_by_team: PercentByTeam


class _TrialRun:
    """A group of entries that has applied a configuration and divided the units."""

    def __init__(self, text: str, limits: QuotaSettings) -> None:
        self.configuration: Configuration = parse_configuration(text)
        zones = list(self.configuration.regions_by_zone)
        entry_zones = [zones[number % len(zones)] for number in range(ENTRY_COUNT)]
        self.group = EntryGroup(entry_zones, limits)
        entries, self.group.entries = self.group.entries, []
        for entry in entries:
            self.group.entries.append(entry)
            self.group.run(ENTRY_START_INTERVAL_MS, 1_000)
        entries[0].apply_configuration(text, 0).result(0)
        self.group.run(STABILIZATION_MS, 1_000)

    def compute_usable_percent(
        self, entries: collections.abc.Iterable[SimulatedEntry]
    ) -> PercentByTeam:
        """Return the units usable by the given entries in percent of each limit."""
        chosen = list(entries)
        return {
            name: 100 * sum(e.count_usable_units(name) for e in chosen) / team.limit
            for name, team in self.configuration.teams_by_name.items()
        }


def _aggregate(
    samples: list[PercentByTeam], function: t.Callable[[list[float]], float]
) -> PercentByTeam:
    return {team: function([sample[team] for sample in samples]) for team in samples[0]}


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def measure_outage(
    text: str, limits: QuotaSettings, duration_ms: int
) -> list[tuple[str, PercentByTeam]]:
    """Disconnect all entries from the store and measure at the end of the outage.

    :param duration_ms: length of the outage.
    :returns: the lowest value and the mean over ``OUTAGE_DELAYS_MS``, which vary the
        time since the last lease renewals.
    """
    samples = []
    for delay_ms in OUTAGE_DELAYS_MS:
        trial = _TrialRun(text, limits)
        trial.group.run(delay_ms, 1_000)
        trial.group.set_store_unreachable(True)
        trial.group.clock.advance(duration_ms)
        samples.append(trial.compute_usable_percent(trial.group.entries))
    return [("lowest", _aggregate(samples, min)), ("mean", _aggregate(samples, _mean))]


def measure_partition(
    text: str, limits: QuotaSettings
) -> list[tuple[str, PercentByTeam]]:
    """Isolate one zone from the store and from the other zones for ten minutes.

    :returns: values inside and outside the zone, before the partition and at its end.
    """
    trial = _TrialRun(text, limits)
    entries = trial.group.entries
    zone = entries[0].settings.zone
    inside = [e for e in entries if e.settings.zone == zone]
    outside = [e for e in entries if e.settings.zone != zone]
    rows = [
        ("zone before", trial.compute_usable_percent(inside)),
        ("others before", trial.compute_usable_percent(outside)),
    ]
    for entry in inside:
        entry.isolated = True
        entry.set_store_unreachable(True)
    trial.group.run(PARTITION_MS, 1_000)
    rows.append(("zone", trial.compute_usable_percent(inside)))
    rows.append(("others", trial.compute_usable_percent(outside)))
    return rows


def measure_replacements(
    text: str, limits: QuotaSettings, same_address: bool
) -> list[tuple[str, PercentByTeam]]:
    """Kill and replace an entry every half hour for two hours.

    :param same_address: whether a replacement keeps the instance name and address.
    :returns: the lowest value and the mean over the second hour.
    """
    trial = _TrialRun(text, limits)
    group = trial.group
    samples: list[PercentByTeam] = []
    for number in range(2 * HOUR_MS // REPLACE_INTERVAL_MS):
        index = number % ENTRY_COUNT
        instance = None if same_address else ENTRY_COUNT + number
        group.replace_entry(index, f"r{number}", instance)
        in_second_hour = number >= HOUR_MS // REPLACE_INTERVAL_MS
        group.run(
            REPLACE_INTERVAL_MS,
            REPLACEMENT_STEP_MS,
            lambda: samples.append(trial.compute_usable_percent(group.entries)),
        )
        if not in_second_hour:
            samples.clear()
    return [("lowest", _aggregate(samples, min)), ("mean", _aggregate(samples, _mean))]


def measure(text: str) -> t.Iterator[ScenarioResult]:
    """Measure all scenarios and variants for one configuration text."""
    scenarios: dict[
        str, t.Callable[[QuotaSettings], list[tuple[str, PercentByTeam]]]
    ] = {
        "store down 60 s": lambda limits: measure_outage(text, limits, 60_000),
        "store down 1 h": lambda limits: measure_outage(text, limits, HOUR_MS),
        "zone cut off 10 min": lambda limits: measure_partition(text, limits),
        "2 replaced an hour, new address": lambda limits: measure_replacements(
            text, limits, False
        ),
        "2 replaced an hour, same address": lambda limits: measure_replacements(
            text, limits, True
        ),
    }
    for scenario, measure_scenario in scenarios.items():
        for variant, limits in VARIANTS.items():
            for label, percent_by_team in measure_scenario(limits):
                yield ScenarioResult(f"{scenario}: {label}", variant, percent_by_team)


def format_result(result: ScenarioResult) -> str:
    """Return one line of the table."""
    cells = "".join(f"{value:>8.0f}" for value in result.percent_by_team.values())
    return f"{result.scenario:<42}{result.variant:<23}{cells}"


class UnitsCommand(Command):
    """Prints the usable part of each team's limit, in percent."""

    name = "units"
    description = "Measure how much of each team's limit stays usable."
    arguments = [argument("text", "Paths of configuration texts.", multiple=True)]

    def handle(self) -> int:
        for path in self.argument("text"):
            text = pathlib.Path(path).read_text(encoding="utf-8")
            teams = parse_configuration(text).teams_by_name.values()
            self.line(f"{path}: {ENTRY_COUNT} entries, percent of each limit usable")
            names = "".join(f"{team.name[:7]:>8}" for team in teams)
            self.line(f"{'':<65}{names}")
            limits = "".join(f"{team.limit:>8}" for team in teams)
            self.line(f"{'limit':<65}{limits}")
            for result in measure(text):
                self.line(format_result(result))
        return 0


def main() -> int:
    """Run only this command: ``python -m cranberrywheel_load.units TEXT...``."""
    logging.set_verbosity(logging.ERROR)
    application = Application("cranberrywheel-load")
    application.add(UnitsCommand())
    return application.run(ArgvInput([sys.argv[0], "units", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
