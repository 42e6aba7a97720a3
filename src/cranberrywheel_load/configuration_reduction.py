"""Reduction of configuration texts to deployments that fit on one machine."""

import configparser
import io


def _list_sections(parser: configparser.ConfigParser, kind: str) -> list[str]:
    return [s for s in parser.sections() if s.split()[0] == kind]


def reduce_configuration(
    text: str, zone_count: int, workers_per_pool: int, slots: int
) -> str:
    """Reduce the zones, workers and slots of a configuration text.

    The workers of a pool are spread over the remaining zones, each in its own rack.
    Team limits are scaled by the remaining fraction of slots, and each service
    requires one healthy worker.

    :param text: configuration text.
    :param zone_count: number of zones to keep, from the first.
    :param workers_per_pool: number of workers of each pool in the result.
    :param slots: number of slots of each worker in the result.
    :returns: the reduced configuration text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    zone_sections = _list_sections(parser, "zone")
    for section in zone_sections[zone_count:]:
        parser.remove_section(section)
    zones = [s.split()[1] for s in zone_sections[:zone_count]]
    original_slots = 0
    pools = _list_sections(parser, "pool")
    for number, section in enumerate(pools):
        pool = section.split()[1]
        listed_workers = [w for w in parser[section]["workers"].split(",") if w.strip()]
        original_slots += len(listed_workers) * int(
            parser[section]["slots_per_executor"]
        )
        parser[section]["slots_per_executor"] = str(slots)
        parser[section]["workers"] = ", ".join(
            f"{pool}-{i + 1}@{zones[(i + number) % len(zones)]}/{pool}-rack-{i + 1}"
            for i in range(workers_per_pool)
        )
    for section in _list_sections(parser, "service"):
        parser[section]["min_healthy"] = "1"
    kept_capacity = len(pools) * workers_per_pool * slots / original_slots
    for section in _list_sections(parser, "team"):
        limit = round(int(parser[section]["limit"]) * kept_capacity)
        parser[section]["limit"] = str(max(limit, 1))
    output = io.StringIO()
    parser.write(output)
    return output.getvalue()
