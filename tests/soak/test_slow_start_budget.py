"""Ingresses that all know of a backend's start overload it together, with no late one among them.

What happens: six ingresses before six backends, half of which are replaced within seven seconds.
Each starting backend gets up to 1.7 times what the rule allows within `overload_for` (1 s here),
all from ingresses that have been notified seconds before; each request once.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import uvloop

from fleetlab.soak.records import Effect
from fleetlab.soak.run import play
from fleetlab.soak.schedule import FaultKind, PlannedFault, SoakPlan
from fleetlab.soak.site import SoakClass, SoakSite

TIMEOUT_S = 90.0

SITE = SoakSite(
    (
        SoakClass("search", Effect.IDEMPOTENT, 0.9),
        SoakClass("order", Effect.KEYED, 0.7),
        SoakClass("read", Effect.IDEMPOTENT, 0.6),
    ),
    ingresses=6,
    slow_start_s=15.0,
    initial_capacity=0.2,
    overload_factor=2.0,
    overload_window_s=1.0,
    hedging=True,
)
PLAN = SoakPlan(
    seed=1,
    site=SITE,
    ingresses=6,
    backends=6,
    seconds=16.0,
    clients=10,
    crowd=False,
    counter=False,
    faults=tuple(
        PlannedFault(2.0 + 1.5 * backend, FaultKind.BACKEND_DRAINS, backend, 0.6)
        for backend in range(3)
    ),
)


def test_ingresses_that_know_of_a_start_do_not_overload_the_backend(tmp_path: Path) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result, evidence = runner.run(asyncio.wait_for(play(PLAN, tmp_path), TIMEOUT_S))
    assert len(evidence.record.backend_starts) == 3
    assert [found for found in result.violations if found.rule == "slow_start"] == []
