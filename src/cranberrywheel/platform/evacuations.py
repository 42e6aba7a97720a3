"""Evacuations of availability zones: the keys that operators write."""

from cranberrywheel.json_body import decode_object
from cranberrywheel.store_messages import Item

#: Key prefix of the evacuations that operators request; the rest is the zone.
EVACUATION_PREFIX = "op/evacuate/"


def decode_zone(key: str) -> str:
    """Return the zone that a key names; ``""`` if it names none."""
    return key.removeprefix(EVACUATION_PREFIX)


def is_valid_request(item: Item) -> bool:
    """Tell whether an item is an evacuation: a zone and a JSON object as value."""
    if item.value is None or not decode_zone(item.key):
        return False
    try:
        decode_object(item.value)
    except (RecursionError, ValueError):
        return False
    return True
