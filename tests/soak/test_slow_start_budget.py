"""Ingresses that all know of a backend's start overload it together, with no late one among them.

What happened: six ingresses before six backends, half of which are replaced within seven seconds.
Each starting backend got up to 1.7 times what the rule allows within `overload_for` (1 s here), all
from ingresses that had been notified seconds before; each request once.

Why: each ingress divided the work that overloads a backend by what it took for the work of a
request. It learnt that from the time of responses, divided by its own requests at the backend, as
if these waited for each other. They ran side by side, so the estimate sank from 22 to 10.5 ms where
the work is 25 ms, and the budget grew. In a copy that printed each budget as it was set, in ms:

    backend 111875633122863 warmth 0.20 budget 89 mean work 22.3 users 4
    backend 111875633122863 warmth 0.59 budget 242 mean work 10.5 users 4

The second is 92 requests in a second, where 47 overload the backend. With 25 ms in its place the
fullest windows still held 0.65 to 0.82 of the bound, 25 to 30 requests where the budgets were 13
together: each ingress counted in windows of its own, and two budgets met in one window of the rule.

See docs/incidents/2026-12-03-starting-backends-overloaded.md.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import uvloop

from fleetlab.soak.records import Effect
from fleetlab.soak.run import run_plan
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
        result, evidence = runner.run(asyncio.wait_for(run_plan(PLAN, tmp_path), TIMEOUT_S))
    assert len(evidence.record.backend_starts) == 3
    rules = ("slow_start", "slow_start_room")
    assert [found for found in result.violations if found.rule in rules] == []
