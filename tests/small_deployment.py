"""A valid operators' text for tests: two zones and team ``t``."""

from cranberrywheel.settings import LimitSettings
from cranberrywheel_load.entries import EntryGroup

TEXT = """\
[deployment]
name = small
[zone z1]
[zone z2]
[pool p]
workers = w1@z1/r1, w2@z2/r2
cores = 8
memory_mb = 1024
[service s]
pool = p
min_healthy = 1
[queue q]
service = s
[team t]
share = 0.5
limit = 12
"""


def group_of(count, limits=None):
    """Build entries in alternating zones."""
    zones = [f"z{number % 2 + 1}" for number in range(count)]
    return EntryGroup(zones, limits or LimitSettings())
