"""Runs that press on one rule each: slow start, the end of a shutdown, and hold-ups."""

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

CLIENTS = 60  # of all ingresses together, two of each at least
LAST_REPLACEMENT_S = 7.0  # all replaced backends are
SILENCE_LEAD_S = 0.3  # an agent falls silent so long before a backend begins to drain
SILENCE_CHANCE = 0.7  # that some agents are silent during a replacement
SILENT_INGRESS_SHARE = 0.2  # of all
WAVES = 2  # of hanging backends, each with restarts of half of the ingresses
WAVE_DURATION_S = 5.0
DISTURBED_INGRESS_SHARE = 0.25  # of all: the others are not restarted, paused or reloaded
PAUSE_DEADLINES_S = (0.3, 0.6)  # of the longest class: a pause often reaches beyond them
PAUSE_INTERVAL_S = 0.6  # between two pauses of an ingress, on average


def make_slow_start_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a run with short windows, many clients, series of starts and late ingresses."""
    random = Random(f"pressure {seed}")
    site = replace(
        draw_site(random, ingresses),
        overload_window_s=random.choice((0.5, 1.0, 3.0)),
        overload_factor=random.choice((1.3, 2.0, 2.5)),
        slow_start_s=random.choice((8.0, 15.0)),
    )
    backends = random.randint(6, 8)
    faults = [
        *_draw_replacements(random, backends, ingresses, seconds, site.drain_grace_s),
        *_draw_disturbances(random, ingresses, seconds),
    ]
    clients = max(2, CLIENTS // ingresses)
    return _make_plan(seed, site, backends, seconds, clients, faults)


def _draw_replacements(
    random: Random, backends: int, ingresses: int, seconds: float, grace_s: float
) -> list[PlannedFault]:
    """Return the replacement of half of the backends, of which some ingresses hear late."""
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


def _draw_disturbances(random: Random, ingresses: int, seconds: float) -> list[PlannedFault]:
    faults = draw_ingress_faults(random, ingresses, seconds, crowd=False)
    disturbed = random.sample(range(ingresses), _share_of(ingresses, DISTURBED_INGRESS_SHARE))
    return [fault for fault in faults if fault.target in disturbed]


def _share_of(count: int, share: float) -> int:
    return max(1, round(count * share))


def make_shutdown_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a run whose ingresses are told to end while most backends hang or reset late.

    Requests have long deadlines, and the window of their keys ends long before these.
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
    return _make_plan(seed, site, backends, seconds, random.randint(4, 6), faults)


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
    """Return a run whose ingresses are paused again and again, across deadlines and responses.

    The responses of all backends end with their connections, which is read last of all.
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
    return _make_plan(seed, site, backends, seconds, clients, faults)


def _make_plan(
    seed: int,
    site: SoakSite,
    backends: int,
    seconds: float,
    clients: int,
    faults: list[PlannedFault],
) -> SoakPlan:
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
