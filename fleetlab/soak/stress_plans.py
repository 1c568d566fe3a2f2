"""Plans that each stress one rule: slow start, the end of a shutdown, and pauses."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from fleetlab.soak.records import Effect
from fleetlab.soak.schedule import (
    FAULT_FREE_S,
    MAX_PAUSE_S,
    SIGNAL_SERIES,
    FaultKind,
    PlannedFault,
    SoakPlan,
    draw_ingress_faults,
    draw_site,
)
from fleetlab.soak.site import SoakClass, SoakSite

CLIENTS = 60  # number of clients over all ingresses; each ingress has at least two
LAST_REPLACEMENT_S = 7.0  # latest time at which a backend that is replaced begins to drain
SILENCE_LEAD_S = 0.3  # time for which an agent is silent before a backend begins to drain
SILENCE_CHANCE = 0.7  # chance per replacement that some agents are silent during it
SILENT_INGRESS_SHARE = 0.2  # fraction of the ingresses whose agents are silent
WAVES = 2  # number of waves of hanging backends, each with restarts of half of the ingresses
WAVE_DURATION_S = 5.0  # time for which the backends of a wave hang or reset late
# Fraction of the ingresses that keep the restarts, kills, reloads, pauses and discovery faults that
# are drawn for them. The silent agents of SILENT_INGRESS_SHARE are chosen separately.
DISTURBED_INGRESS_SHARE = 0.25
MAX_LIST_DELAY_S = 4.0  # longest delay of a response of a slow agent
# How long the delay of a slow agent stays the same, in a plan in which it changes.
LIST_DELAY_PERIOD_S = 1.7
SLOW_DISCOVERY_GRACE_S = 0.4  # short, so that a drain that is not heard of is seen in a short run
# Choices for the longest deadline, short so that a pause often extends past a deadline.
PAUSE_DEADLINES_S = (0.3, 0.6)
PAUSE_INTERVAL_S = 0.6  # mean time between two pauses of an ingress


def make_slow_start_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan that stresses slow start.

    It has short overload windows, many clients, a series of backend starts, and ingresses that are
    notified late.
    """
    random = Random(f"pressure {seed}")
    site = replace(
        draw_site(random, ingresses),
        overload_window_s=random.choice((0.5, 1.0, 3.0)),
        overload_factor=random.choice((1.3, 2.0, 2.5)),
        slow_start_s=random.choice((8.0, 15.0)),
    )
    backends = random.randint(6, 8)
    faults = [
        *draw_replacements(random, backends, ingresses, seconds, site.drain_grace_s),
        *draw_disturbances(random, ingresses, seconds),
    ]
    clients = max(2, CLIENTS // ingresses)
    return make_stress_plan(seed, site, backends, seconds, clients, faults)


def draw_replacements(
    random: Random, backends: int, ingresses: int, seconds: float, grace_s: float
) -> list[PlannedFault]:
    """Draw replacements of half of the backends; some ingresses are notified of them late."""
    faults = []
    latest_s = min(LAST_REPLACEMENT_S, seconds / 2)
    for target in random.sample(range(backends), backends // 2):
        at_s = random.uniform(FAULT_FREE_S, latest_s)
        away_s = random.uniform(0.3, 0.8)
        faults.append(PlannedFault(at_s, FaultKind.BACKEND_DRAINS, target, 2 * away_s))
        if random.random() >= SILENCE_CHANCE:
            continue
        silent_s = SILENCE_LEAD_S + grace_s + away_s + random.uniform(1.5, 3.0)
        faults += [
            PlannedFault(at_s - SILENCE_LEAD_S, FaultKind.LIST_SILENT, ingress, silent_s)
            for ingress in random.sample(
                range(ingresses), _share_of(ingresses, SILENT_INGRESS_SHARE)
            )
        ]
    return faults


def draw_disturbances(random: Random, ingresses: int, seconds: float) -> list[PlannedFault]:
    """Draw the faults of a part of the ingresses."""
    faults = draw_ingress_faults(random, ingresses, seconds, crowd=False)
    disturbed = random.sample(range(ingresses), _share_of(ingresses, DISTURBED_INGRESS_SHARE))
    return [fault for fault in faults if fault.target in disturbed]


def draw_deadlines(random: Random, site: SoakSite, longest_s: float) -> SoakSite:
    """Return the site with deadlines drawn from the upper part of those up to the longest one."""
    classes = tuple(
        replace(request_class, deadline_s=longest_s * random.uniform(0.6, 1.0))
        for request_class in site.classes
    )
    return replace(site, classes=classes)


def _share_of(count: int, share: float) -> int:
    return max(1, round(count * share))


def make_shutdown_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan whose ingresses are terminated while most backends hang or reset late.

    Requests have long deadlines, and the deduplication window ends long before the deadlines.
    """
    random = Random(f"shutdown {seed}")
    longest_s = random.choice((2.3, 4.0, 4.0))
    classes = (
        SoakClass("order", Effect.KEYED, longest_s),
        SoakClass("pay", Effect.NOT_IDEMPOTENT, longest_s),
        SoakClass("read", Effect.IDEMPOTENT, longest_s * random.uniform(0.4, 1.0)),
    )
    site = replace(draw_site(random, ingresses), classes=classes, dedup_window_s=0.8)
    backends = random.randint(6, 8)
    shuffled = random.sample(range(ingresses), ingresses)
    faults = []
    for wave in range(WAVES):
        at_s = FAULT_FREE_S + wave * max(0.0, seconds - FAULT_FREE_S - 1) / WAVES
        faults += _draw_hanging_backends(random, backends, at_s)
        faults += _draw_restarts(random, shuffled[wave::WAVES], at_s)
    return make_stress_plan(seed, site, backends, seconds, random.randint(4, 6), faults)


def _draw_hanging_backends(random: Random, backends: int, at_s: float) -> list[PlannedFault]:
    kinds = [FaultKind.BACKEND_HANGS, FaultKind.BACKEND_RESETS_LATE] * backends
    targets = random.sample(range(backends), backends - 2)
    return [
        PlannedFault(at_s, kind, target, WAVE_DURATION_S)
        for kind, target in zip(kinds, targets, strict=False)
    ]


def _draw_restarts(random: Random, targets: list[int], wave_at_s: float) -> list[PlannedFault]:
    return [
        PlannedFault(
            wave_at_s + random.uniform(0.3, 1.5),
            FaultKind.RESTART,
            target,
            signals=random.choice(SIGNAL_SERIES),
            gap_s=random.uniform(0.0, 0.1),
        )
        for target in targets
    ]


def make_pause_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan whose ingresses are paused repeatedly, across deadlines and responses.

    The responses of all backends end with their connections, and an ingress reads the end of a
    connection after everything else.
    """
    random = Random(f"hold-up {seed}")
    longest_s = random.choice(PAUSE_DEADLINES_S)
    classes = tuple(
        SoakClass(name, effect, longest_s * random.uniform(0.4, 1.0))
        for name, effect in zip(("order", "pay", "read"), Effect, strict=True)
    )
    site = replace(draw_site(random, ingresses), classes=classes)
    backends = random.randint(6, 8)
    faults = [
        PlannedFault(FAULT_FREE_S, FaultKind.BACKEND_UNBOUNDED, target, seconds)
        for target in range(backends)
    ]
    for target in range(ingresses):
        at_s = FAULT_FREE_S
        while (at_s := at_s + PAUSE_INTERVAL_S * random.uniform(0.5, 1.5)) < seconds:
            pause_s = random.uniform(0.05, MAX_PAUSE_S)
            faults.append(PlannedFault(at_s, FaultKind.PAUSE, target, pause_s))
    clients = max(2, CLIENTS // ingresses)
    return make_stress_plan(seed, site, backends, seconds, clients, faults)


def make_slow_discovery_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan whose agents answer late, by the same or by another time again and again.

    Half of the backends drain, and are listed as draining up to the end of the run.
    """
    random = Random(f"slow discovery {seed}")
    site = replace(draw_site(random, ingresses), drain_grace_s=SLOW_DISCOVERY_GRACE_S)
    backends = random.randint(6, 8)
    period_s = random.choice((LIST_DELAY_PERIOD_S, seconds))
    faults = []
    for target in range(ingresses):
        at_s = FAULT_FREE_S / 2
        while at_s < seconds:
            delay_s = random.uniform(0.2, MAX_LIST_DELAY_S)
            faults.append(PlannedFault(at_s, FaultKind.LIST_SLOW, target, period_s, gap_s=delay_s))
            at_s += period_s
    for target in random.sample(range(backends), backends // 2):
        at_s = random.uniform(FAULT_FREE_S, FAULT_FREE_S + 0.5)
        faults.append(PlannedFault(at_s, FaultKind.BACKEND_DRAINS, target, 2 * seconds))
    return make_stress_plan(seed, site, backends, seconds, max(2, CLIENTS // ingresses), faults)


def make_stress_plan(
    seed: int,
    site: SoakSite,
    backends: int,
    seconds: float,
    clients: int,
    faults: list[PlannedFault],
) -> SoakPlan:
    """Return a plan with faults in the order of time, without a crowd and a counter."""
    return SoakPlan(
        seed,
        site,
        site.ingresses,
        backends,
        seconds,
        clients,
        crowd=False,
        counter=False,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )
