"""Plans by seed: listed seeds keep their plans, and stress plans contain the intended faults."""

from __future__ import annotations

import hashlib

import pytest

from fleetlab.soak.bad_client_waves import WaveSettings
from fleetlab.soak.runs import (
    FIRST_BAD_CLIENTS_SEED,
    FIRST_PAUSE_SEED,
    FIRST_SHUTDOWN_SEED,
    FIRST_SLOW_DISCOVERY_SEED,
    FIRST_SLOW_START_SEED,
    FIRST_UNLIKE_BACKENDS_SEED,
    plan_for_seed,
)
from fleetlab.soak.schedule import FaultKind
from fleetlab.soak.unlike_backends_plan import SIZE_MEANINGS

# Hashes of the plans with 10 ingresses and 10 seconds, taken when the seeds were listed.
LISTED_PLANS = {
    1: "8073c27311c8f9e0",
    4: "7a2d4797139f01ef",
    105: "e493ebe01ce7114d",
    139: "d374a4872e1a3e44",
}


@pytest.mark.parametrize("seed", LISTED_PLANS)
def test_listed_seed_draws_the_same_plan(seed: int) -> None:
    """Guards against a changed draw, after which a listed seed would no longer show its fault."""
    plan = repr(plan_for_seed(seed, 10, 10.0))
    assert hashlib.sha256(plan.encode()).hexdigest()[:16] == LISTED_PLANS[seed]


def test_eight_slow_start_seeds_cover_all_windows_and_late_notifications() -> None:
    """Guards against stress plans that miss a window, a replacement or a silent agent."""
    plans = [plan_for_seed(FIRST_SLOW_START_SEED + seed, 0, 12.0) for seed in range(1, 9)]
    assert {plan.site.overload_window_s for plan in plans} == {0.5, 1.0, 3.0}
    for plan in plans:
        starts = [fault for fault in plan.faults if fault.kind is FaultKind.BACKEND_DRAINS]
        assert len(starts) == plan.backends // 2
        assert max(fault.at_s for fault in starts) <= 7.0
    late = [fault for plan in plans for fault in plan.faults if fault.kind is FaultKind.LIST_SILENT]
    assert late


def test_shutdown_seed_restarts_all_ingresses_while_backends_hang() -> None:
    """Guards against restarts without hanging backends, which could not show a lost request."""
    plan = plan_for_seed(FIRST_SHUTDOWN_SEED + 1, 6, 12.0)
    restarts = [fault for fault in plan.faults if fault.kind is FaultKind.RESTART]
    assert {fault.target for fault in restarts} == set(range(6))
    for restart in restarts:
        hanging = [
            fault
            for fault in plan.faults
            if fault.kind is FaultKind.BACKEND_HANGS
            and fault.at_s < restart.at_s < fault.at_s + fault.seconds
        ]
        assert hanging


def test_pause_seed_pauses_all_ingresses_often() -> None:
    """Guards against ingresses with too few pauses for one to cross a deadline or response."""
    plan = plan_for_seed(FIRST_PAUSE_SEED + 1, 6, 12.0)
    pauses = [fault.target for fault in plan.faults if fault.kind is FaultKind.PAUSE]
    assert all(pauses.count(ingress) > 5 for ingress in range(6))


def test_slow_discovery_seed_delays_all_agents_and_drains_backends_up_to_the_end() -> None:
    """Guards against drains that end before it shows whether the ingresses have heard of them."""
    for seed in range(FIRST_SLOW_DISCOVERY_SEED + 1, FIRST_SLOW_DISCOVERY_SEED + 9):
        plan = plan_for_seed(seed, 6, 10.0)
        slow = [fault for fault in plan.faults if fault.kind is FaultKind.LIST_SLOW]
        assert {fault.target for fault in slow} == set(range(6))
        assert all(0.2 <= fault.gap_s <= 4.0 for fault in slow)
        drains = [fault for fault in plan.faults if fault.kind is FaultKind.BACKEND_DRAINS]
        assert len(drains) == plan.backends // 2
        assert all(fault.at_s + fault.seconds / 2 > plan.seconds for fault in drains)


def test_unlike_backends_seeds_start_small_and_large_ones_under_all_meanings_of_sizes() -> None:
    """Guards against fleets of one size, where a mean over all backends is right for each."""
    plans = [plan_for_seed(FIRST_UNLIKE_BACKENDS_SEED + seed, 0, 14.0) for seed in range(1, 25)]
    assert {plan.site.size_meaning for plan in plans} == set(SIZE_MEANINGS)
    assert {plan.site.load_reports for plan in plans} == {True, False}
    started = []
    for plan in plans:
        targets = [f.target for f in plan.faults if f.kind is FaultKind.BACKEND_DRAINS]
        started += [plan.machines[target].cores for target in targets]
        sizes = [machine.requests_per_s for machine in plan.machines]
        assert max(sizes) >= 8 * min(sizes)
        if plan.site.size_meaning == "off":
            assert {machine.listed_size for machine in plan.machines} == {1.0}
    assert {1, 8} <= {*started}


def test_bad_clients_seeds_leave_room_for_usual_clients_at_all_ingresses() -> None:
    """Guards against plans with more clients than the limit, where losses are allowed."""
    wave = WaveSettings("", 0.0)
    for seed in range(FIRST_BAD_CLIENTS_SEED + 1, FIRST_BAD_CLIENTS_SEED + 9):
        plan = plan_for_seed(seed, 3, 10.0)
        bad = [fault for fault in plan.faults if fault.kind is FaultKind.BAD_CLIENTS]
        assert {fault.target for fault in bad} == set(range(3))
        assert all(fault.at_s + fault.seconds > 0.8 * plan.seconds for fault in bad)
        pipelining_clients = 1
        assert plan.clients + pipelining_clients + wave.senders <= plan.site.sockets / 3
        assert wave.silent > plan.site.sockets / 2
        assert plan.bad_clients
        assert plan.new_connections
