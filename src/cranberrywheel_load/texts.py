"""Reduced operators' texts, so that a deployment fits on one machine."""

import configparser
import io


def _names(parser: configparser.ConfigParser, kind: str) -> list[str]:
    return [s for s in parser.sections() if s.split()[0] == kind]


def reduce_text(text: str, zone_count: int, workers_per_pool: int, slots: int) -> str:
    """Keep some zones, workers and slots of a text and scale team limits to them.

    Workers of a pool are spread over the zones that stay, each in its own rack.
    Budgets become one healthy worker.

    :param text: an operators' text.
    :param zone_count: zones to keep, from the first.
    :param workers_per_pool: workers that each pool has afterwards.
    :param slots: slots that each worker has afterwards.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    zone_sections = _names(parser, "zone")
    for section in zone_sections[zone_count:]:
        parser.remove_section(section)
    zones = [s.split()[1] for s in zone_sections[:zone_count]]
    slots_before = 0
    pools = _names(parser, "pool")
    for number, section in enumerate(pools):
        pool = section.split()[1]
        listed = [w for w in parser[section]["workers"].split(",") if w.strip()]
        slots_before += len(listed) * int(parser[section]["slots_per_executor"])
        parser[section]["slots_per_executor"] = str(slots)
        parser[section]["workers"] = ", ".join(
            f"{pool}-{i + 1}@{zones[(i + number) % len(zones)]}/{pool}-rack-{i + 1}"
            for i in range(workers_per_pool)
        )
    for section in _names(parser, "service"):
        parser[section]["min_healthy"] = "1"
    kept = len(pools) * workers_per_pool * slots / slots_before
    for section in _names(parser, "team"):
        limit = round(int(parser[section]["limit"]) * kept)
        parser[section]["limit"] = str(max(limit, 1))
    output = io.StringIO()
    parser.write(output)
    return output.getvalue()
