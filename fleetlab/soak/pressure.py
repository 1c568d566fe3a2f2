"""Runs that press on slow start: short windows, many clients, series of starts, late ingresses."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from fleetlab.soak.schedule import (
    QUIET_S,
    FaultKind,
    PlannedFault,
    SoakPlan,
    draw_ingress_faults,
    draw_site,
)

CLIENTS = 60  # of all ingresses together, two of each at least
STARTS_WITHIN_S = 7.0  # all replaced backends are
SILENCE_BEFORE_S = 0.3  # an agent falls silent so long before a backend begins to drain
LATE_CHANCE = 0.7  # that some agents are silent during a replacement
LATE_INGRESSES = 0.2  # of all
DISTURBED_INGRESSES = 0.25  # of all: the others are not restarted, paused or reloaded


def make_pressure_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return the run of a seed, with so many ingresses and seconds of load."""
    random = Random(f"pressure {seed}")
    site = replace(
        draw_site(random, ingresses),
        overload_window_s=random.choice((0.5, 1.0, 3.0)),
        overload_factor=random.choice((1.3, 2.0, 2.5)),
        slow_start_s=random.choice((8.0, 15.0)),
    )
    backends = random.randint(6, 8)
    faults = [
        *_starts(random, backends, ingresses, seconds, site.drain_grace_s),
        *_disturbances(random, ingresses, seconds),
    ]
    return SoakPlan(
        seed,
        site,
        ingresses,
        backends,
        seconds,
        clients=max(2, CLIENTS // ingresses),
        crowd=False,
        counter=False,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )


def _starts(
    random: Random, backends: int, ingresses: int, seconds: float, grace_s: float
) -> list[PlannedFault]:
    """Return the replacement of half of the backends, of which some ingresses hear late."""
    faults = []
    latest_s = min(STARTS_WITHIN_S, seconds / 2)
    for target in random.sample(range(backends), backends // 2):
        at_s = random.uniform(QUIET_S, latest_s)
        away_s = random.uniform(0.3, 0.8)
        faults.append(PlannedFault(at_s, FaultKind.BACKEND_DRAINS, target, 2 * away_s))
        if random.random() >= LATE_CHANCE:
            continue
        silent_s = SILENCE_BEFORE_S + grace_s + away_s + random.uniform(1.5, 3.0)
        faults += [
            PlannedFault(at_s - SILENCE_BEFORE_S, FaultKind.LIST_SILENT, ingress, silent_s)
            for ingress in random.sample(range(ingresses), _part(ingresses, LATE_INGRESSES))
        ]
    return faults


def _disturbances(random: Random, ingresses: int, seconds: float) -> list[PlannedFault]:
    faults = draw_ingress_faults(random, ingresses, seconds, crowd=False)
    disturbed = random.sample(range(ingresses), _part(ingresses, DISTURBED_INGRESSES))
    return [fault for fault in faults if fault.target in disturbed]


def _part(count: int, part: float) -> int:
    return max(1, round(count * part))
