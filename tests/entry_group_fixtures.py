"""Builds groups of entries in two zones, and a small valid configuration text."""

from test_configuration import SMALL

from cranberrywheel.settings import QuotaSettings
from cranberrywheel_load.entry_group import EntryGroup

TEXT = SMALL.replace("limit = 4", "limit = 12")


def build_entry_group(count, limits=None):
    """Build entries in alternating zones."""
    zones = [f"z{number % 2 + 1}" for number in range(count)]
    return EntryGroup(zones, limits or QuotaSettings(short_hold_ms=90_000))
