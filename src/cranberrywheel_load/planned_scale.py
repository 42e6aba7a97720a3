"""Generates a configuration text of the scale planned in two years, from a seed."""

import random

REGIONS = 8
ZONES = 28
POOLS = 50
WORKERS_PER_POOL = 40
ZONES_PER_POOL = 5
WORKERS_PER_RACK = 4
SLOTS = 8
TEAMS = 51


def _pool_sections(rng: random.Random, number: int) -> list[str]:
    """Return one pool with its service and queues; bursts overload some pools."""
    name = f"pool-{number}"
    zones = rng.sample(range(ZONES), ZONES_PER_POOL)
    workers = []
    for index in range(WORKERS_PER_POOL):
        zone = zones[index * ZONES_PER_POOL // WORKERS_PER_POOL]
        rack = f"rack-{number}-{index // WORKERS_PER_RACK}"
        workers.append(f"w{number}-{index}@zone-{zone}/{rack}")
    spare = "yes" if number < 2 else "no"
    sections = [
        f"[pool {name}]\nworkers = {', '.join(workers)}\ncores = 32\n"
        f"memory_mb = 131072\nspare = {spare}\nslots_per_executor = {SLOTS}"
    ]
    # The dependency graph has five layers of ten services; today's graphs have two or
    # three layers.
    layer = number // 10
    depends_on = (
        [f"pool-{n}" for n in rng.sample(range(layer * 10 - 10, layer * 10), 2)]
        if layer
        else []
    )
    sections.append(
        f"[service {name}]\npool = {name}\nmin_healthy = {rng.choice((15, 24, 30))}\n"
        f"depends_on = {', '.join(depends_on)}"
    )
    # A burst of the larger queue occupies from a third to 1.2 times the pool's slots.
    burst_slots = rng.uniform(0.33, 1.2) * WORKERS_PER_POOL * SLOTS
    for queue, burst_fraction in (("urgent", 1.0), ("batch", rng.uniform(0.2, 0.8))):
        run_ms = rng.choice((60, 150, 250, 4000))
        rate = burst_slots / 5 * burst_fraction * 1000 / run_ms
        sections.append(
            f"[queue {queue}-{number}]\nservice = {name}\nrun_ms = {run_ms}\n"
            f"mean_per_second = {rate:.3f}\n"
            f"timeout_ms = {300_000 if queue == 'batch' else 15_000}\n"
            f"can_checkpoint = {'yes' if queue == 'batch' and number % 2 else 'no'}"
        )
    return sections


def build_planned_text(seed: int, weights: tuple[float, float, float, float]) -> str:
    """Return a text with 2,000 workers, 50 pools, 28 zones and 51 teams.

    :param seed: the same seed gives the same text.
    :param weights: weights of buffer cost, roll-out time, moves and share.
    """
    rng = random.Random(seed)
    buffer_cost, rollout, moves, share = weights
    sections = [
        "[deployment]\nname = planned-scale\n"
        f"weight_buffer_cost = {buffer_cost}\nweight_rollout_time = {rollout}\n"
        f"weight_moves = {moves}\nweight_share = {share}"
    ]
    sections += [
        f"[zone zone-{n}]\nregion = region-{n % REGIONS}" for n in range(ZONES)
    ]
    for number in range(POOLS):
        sections += _pool_sections(rng, number)
    sections += [
        f"[team team-{n}]\nshare = {1 / (TEAMS + 1):.4f}\nlimit = 400"
        for n in range(TEAMS)
    ]
    return "\n\n".join(sections) + "\n"
