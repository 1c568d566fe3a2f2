"""Gateways that know of a start send two thirds of the tolerated load at most, in any window.

So a failure is never due to them, regardless of the load from others (see slow_start_budget.py).
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sumacpost.policy.slow_start_budget import (
    NOTIFIED_FRACTION,
    gateway_share,
    period_budget,
    tolerated_requests,
)
from tests.support.fleet_simulation import FleetSimulation
from tests.support.simulated_backend import Scenario

SEEDS = range(36)
MIN_MEAN_UTILIZATION = 0.1


def draw_scenario(seed: int) -> Scenario:
    """Return a heavily loaded fleet, with settings drawn from their whole range."""
    random = Random(seed)
    backends = random.randint(3, 14)
    scenario = Scenario(
        gateways=random.randint(1, 30),
        backends=backends,
        cold=random.randint(1, max(1, backends // 2)),
        load=random.uniform(0.8, 1.6),
        initial_capacity=random.choice((0.05, 0.1, 0.2, 0.4)),
        slow_start_ms=random.choice((2000.0, 5000.0, 15_000.0, 30_000.0, 60_000.0)),
        overload_factor=random.choice((1.3, 2.0, 2.5)),
        overload_window_ms=random.choice((500.0, 1000.0, 3000.0, 10_000.0)),
        cores=random.choice((1, 1, 2, 3)),
        late_fraction=random.choice((0.0, 0.2, 0.5, 1.0)),
        late_gateways_assume_warm=True,
        reports=random.random() < 0.5,
    )
    if random.random() < 0.3:
        # Backends without queues tolerate any load while warm, so their load reports say nothing
        # about what they tolerate while cold.
        return replace(scenario, queues=False, reports=False, load=3 * scenario.load)
    return scenario


@pytest.mark.parametrize("seed", SEEDS)
def test_notified_gateways_send_two_thirds_of_the_tolerated_load_at_most(seed: int) -> None:
    scenario = draw_scenario(seed)
    simulation = FleetSimulation(scenario, seed).run()
    peak_load = max(backend.peak_notified_window_load() for backend in simulation.cold)
    print(f"{scenario}: highest load in a window {peak_load:.2f} of the tolerated load")
    assert peak_load <= NOTIFIED_FRACTION


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_gateways_that_each_use_the_whole_budget_exceed_the_bound(
    seed: int,
) -> None:
    scenario = Scenario(30, 6, 2, 1.6, cores=1, late_fraction=0.0, overload_factor=1.3)
    simulation = FleetSimulation(scenario, seed, gateways=1, index=0).run()
    peak_load = max(backend.peak_notified_window_load() for backend in simulation.cold)
    assert peak_load > NOTIFIED_FRACTION


@given(
    expected=st.floats(0, 1e5),
    gateways=st.integers(1, 7000),
    roundings=st.tuples(*[st.floats(0, 1, exclude_max=True)] * 2),
    shifts=st.tuples(*[st.integers(0, 6999)] * 2),
)
def test_shares_of_two_periods_in_one_window_stay_within_the_bound(
    expected: float, gateways: int, roundings: tuple[float, float], shifts: tuple[int, int]
) -> None:
    budgets = [period_budget(expected, gateways, rounding) for rounding in roundings]
    total = sum(
        max(
            gateway_share(budget, gateways, (rank + shift) % gateways)
            for budget, shift in zip(budgets, shifts, strict=True)
        )
        for rank in range(gateways)
    )
    assert total <= NOTIFIED_FRACTION * tolerated_requests(expected)


@given(expected=st.floats(0, 1e5), more=st.floats(0, 1e4))
def test_tolerated_requests_do_not_fall_with_capacity(expected: float, more: float) -> None:
    assert tolerated_requests(expected) <= tolerated_requests(expected + more) * (1 + 1e-12)
