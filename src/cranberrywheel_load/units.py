"""Measures how much of each team's limit stays usable through failures.

Entries run the real store session, exchange and unit ledger on a manual clock.
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
from cranberrywheel_load.entry_group import EntryGroup, SharingEntry

ENTRY_COUNT = 7
#: The leases of entries that started at different times are renewed at different
#: times; an outage meets each at another age.
START_SPREAD_MS = 4_000
SETTLE_MS = 60_000
#: Times at which outages start, over the longest interval between two renewals
#: except that of the single lease.
OUTAGE_PHASES_MS = tuple(range(0, 50_000, 10_000))
PARTITION_MS = 600_000
REPLACE_INTERVAL_MS = 1_800_000
HOUR_MS = 3_600_000
LONG_STEP_MS = 5_000

VARIANTS: dict[str, QuotaSettings] = {
    "long_fraction 0": QuotaSettings(long_fraction=0),
    "long_fraction 0.5": QuotaSettings(long_fraction=0.5),
    "long_fraction 1": QuotaSettings(long_fraction=1),
    "0.5, short hold 90 s": QuotaSettings(short_hold_ms=90_000),
    "single lease, 10 min": QuotaSettings(long_fraction=0, short_hold_ms=600_000),
}

UnitsByTeam = dict[str, float]


@dataclasses.dataclass(frozen=True)
class Row:
    """Usable part of each team's limit in one scenario, in percent."""

    scenario: str
    variant: str
    percent_by_team: UnitsByTeam


class _Trial:
    """One group of entries that has settled on a configuration."""

    def __init__(self, text: str, limits: QuotaSettings) -> None:
        self.configuration: Configuration = parse_configuration(text)
        zones = list(self.configuration.regions_by_zone)
        placed = [zones[number % len(zones)] for number in range(ENTRY_COUNT)]
        self.group = EntryGroup(placed, limits)
        entries, self.group.entries = self.group.entries, []
        for entry in entries:
            self.group.entries.append(entry)
            self.group.run(START_SPREAD_MS, 1_000)
        entries[0].apply_configuration(text, 0).result(0)
        self.group.run(SETTLE_MS, 1_000)

    def percent(self, entries: collections.abc.Iterable[SharingEntry]) -> UnitsByTeam:
        """Return the usable units of some entries in percent of the limits."""
        chosen = list(entries)
        return {
            name: 100 * sum(e.count_usable_units(name) for e in chosen) / team.limit
            for name, team in self.configuration.teams_by_name.items()
        }


def _combine(
    samples: list[UnitsByTeam], function: t.Callable[[list[float]], float]
) -> UnitsByTeam:
    return {team: function([s[team] for s in samples]) for team in samples[0]}


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def measure_outage(
    text: str, limits: QuotaSettings, duration_ms: int
) -> list[tuple[str, UnitsByTeam]]:
    """Take the store from all entries; measure at the end of the outage.

    :returns: the lowest and the mean over the time since the last renewals.
    """
    samples = []
    for phase_ms in OUTAGE_PHASES_MS:
        trial = _Trial(text, limits)
        trial.group.run(phase_ms, 1_000)
        trial.group.set_store_unreachable(True)
        trial.group.clock.advance(duration_ms)
        samples.append(trial.percent(trial.group.entries))
    return [("lowest", _combine(samples, min)), ("mean", _combine(samples, _mean))]


def measure_partition(
    text: str, limits: QuotaSettings
) -> list[tuple[str, UnitsByTeam]]:
    """Cut one zone off from the store and the others for ten minutes.

    :returns: before the partition and at its end, inside and outside the zone.
    """
    trial = _Trial(text, limits)
    entries = trial.group.entries
    zone = entries[0].settings.zone
    inside = [e for e in entries if e.settings.zone == zone]
    outside = [e for e in entries if e.settings.zone != zone]
    rows = [
        ("zone before", trial.percent(inside)),
        ("others before", trial.percent(outside)),
    ]
    for entry in inside:
        entry.isolated = True
        entry.set_store_unreachable(True)
    trial.group.run(PARTITION_MS, 1_000)
    rows.append(("zone", trial.percent(inside)))
    rows.append(("others", trial.percent(outside)))
    return rows


def measure_replacements(
    text: str, limits: QuotaSettings, same_address: bool
) -> list[tuple[str, UnitsByTeam]]:
    """Kill and replace an entry every half hour for two hours.

    :param same_address: whether the replacement has the address of the old one.
    :returns: the lowest and the mean over the second hour.
    """
    trial = _Trial(text, limits)
    group = trial.group
    samples: list[UnitsByTeam] = []
    for number in range(2 * HOUR_MS // REPLACE_INTERVAL_MS):
        index = number % ENTRY_COUNT
        instance = None if same_address else ENTRY_COUNT + number
        group.replace_entry(index, f"r{number}", instance)
        measured = number >= HOUR_MS // REPLACE_INTERVAL_MS
        group.run(
            REPLACE_INTERVAL_MS,
            LONG_STEP_MS,
            lambda: samples.append(trial.percent(group.entries)),
        )
        if not measured:
            samples.clear()
    return [("lowest", _combine(samples, min)), ("mean", _combine(samples, _mean))]


def measure(text: str) -> t.Iterator[Row]:
    """Measure all scenarios and variants for one operators' text."""
    scenarios: dict[str, t.Callable[[QuotaSettings], list[tuple[str, UnitsByTeam]]]] = {
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
    for scenario, run in scenarios.items():
        for variant, limits in VARIANTS.items():
            for label, percent_by_team in run(limits):
                yield Row(f"{scenario}: {label}", variant, percent_by_team)


def format_row(row: Row) -> str:
    """Format one line of the table."""
    cells = "".join(f"{value:>8.0f}" for value in row.percent_by_team.values())
    return f"{row.scenario:<42}{row.variant:<23}{cells}"


class UnitsCommand(Command):
    """Prints the usable part of each team's limit, in percent."""

    name = "units"
    description = "Measure how much of each team's limit stays usable."
    arguments = [argument("text", "Operators' texts.", multiple=True)]

    def handle(self) -> int:
        for path in self.argument("text"):
            text = pathlib.Path(path).read_text(encoding="utf-8")
            teams = parse_configuration(text).teams_by_name.values()
            self.line(f"{path}: {ENTRY_COUNT} entries, percent of each limit usable")
            names = "".join(f"{team.name[:7]:>8}" for team in teams)
            self.line(f"{'':<65}{names}")
            limits = "".join(f"{team.limit:>8}" for team in teams)
            self.line(f"{'limit':<65}{limits}")
            for row in measure(text):
                self.line(format_row(row))
        return 0


def main() -> int:
    """Run the command alone: ``python -m cranberrywheel_load.units TEXT...``."""
    logging.set_verbosity(logging.ERROR)
    application = Application("cranberrywheel-load")
    application.add(UnitsCommand())
    return application.run(ArgvInput([sys.argv[0], "units", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
