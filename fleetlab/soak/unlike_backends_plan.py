"""Plans whose backends differ in size, speed and machine type, and start cold."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from fleetlab.soak.machine import MachineSpec
from fleetlab.soak.schedule import SoakPlan, draw_site
from fleetlab.soak.stress_plans import (
    draw_deadlines,
    draw_disturbances,
    draw_replacements,
    make_stress_plan,
)

CLIENTS = 120  # number of clients over all ingresses; each ingress has at least three
SIZE_MEANINGS = ("off", "nominal", "rough", "live")
MODELS = ("m1", "m2", "m3")
# Cores, and time of a request on a warm core in seconds.
SMALL = (1, 0.1)
LARGE = (8, 0.1)
OTHERS = ((1, 0.2), (2, 0.05), (4, 0.1))
REFERENCE_TIME_S = 0.1  # service time of a core of size 1
SIZE_ERROR = 0.3  # largest relative error of an approximate size
MAX_HELD_PER_CORE = 2.0  # most requests held per core by which a size is reduced
MIXED_CHANCE = 0.4  # chance per run that types say nothing of sizes, where sizes are listed
REPORTS_CHANCE = 0.7  # chance per run of load reports
DEADLINES_S = (1.5, 2.3, 4.0)  # long enough for the waits at small backends


def make_unlike_backends_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan in which half of the backends start cold, small and large ones."""
    random = Random(f"unlike backends {seed}")
    size_meaning = random.choice(SIZE_MEANINGS)
    site = draw_site(random, ingresses)
    site = draw_deadlines(random, site, random.choice(DEADLINES_S))
    site = replace(
        site,
        overload_window_s=random.choice((0.5, 1.0, 3.0)),
        overload_factor=random.choice((1.3, 2.0, 2.5)),
        slow_start_s=random.choice((8.0, 15.0)),
        size_meaning=size_meaning,
        machine_types=MODELS,
        load_reports=random.random() < REPORTS_CHANCE,
    )
    machines = _draw_machines(random, size_meaning)
    faults = [
        *draw_replacements(random, len(machines), ingresses, seconds, site.drain_grace_s),
        *draw_disturbances(random, ingresses, seconds),
    ]
    clients = max(3, CLIENTS // ingresses)
    plan = make_stress_plan(seed, site, len(machines), seconds, clients, faults)
    return replace(plan, machines=tuple(machines))


def _draw_machines(random: Random, size_meaning: str) -> list[MachineSpec]:
    """Draw the machines of a run: two small ones, two large ones and some others."""
    kinds = [SMALL, LARGE, random.choice(OTHERS)]
    counts = (2, 2, random.randint(2, 3))
    mixed = size_meaning in ("nominal", "rough") and random.random() < MIXED_CHANCE
    machines = []
    for model, (cores, service_time_s), count in zip(MODELS, kinds, counts, strict=True):
        for _ in range(count):
            size = cores * REFERENCE_TIME_S / service_time_s
            name = MODELS[0] if mixed else model
            listed_size, size = _listed_sizes(random, size, size_meaning)
            machines.append(MachineSpec(name, cores, service_time_s, listed_size, size))
    random.shuffle(machines)
    return machines


def _listed_sizes(random: Random, size: float, size_meaning: str) -> tuple[float, float]:
    """Return what the list says of a size under load and just after a start."""
    match size_meaning:
        case "nominal":
            return size, size
        case "rough":
            rough = size * random.uniform(1 - SIZE_ERROR, 1 + SIZE_ERROR)
            return rough, rough
        case "live":
            return size / (1 + random.uniform(0.0, MAX_HELD_PER_CORE)), size
        case _:
            return 1.0, 1.0
