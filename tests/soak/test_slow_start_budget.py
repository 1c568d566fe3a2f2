"""Guards against ingresses that together overload a starting backend though all were notified.

With six ingresses and six backends, half of them replaced within seven seconds, each starting
backend received up to 1.7 times the limit within `overload_for` (1 s here), all from ingresses that
had been notified seconds before. No request was sent twice.

Each ingress divided the work that overloads a backend by its estimate of the work per request,
which it derived from response times divided by its own requests at the backend, as if these were
queued. They ran concurrently, so the estimate fell from 22 to 10.5 ms (the actual work is 25 ms),
and the budget rose from 89 ms at a capacity fraction of 0.20 to 242 ms at 0.59, for each of 4
ingresses that used the backend. The latter is 92 requests per second, while 47 overload the
backend.

With 25 ms the fullest windows still reached 0.65 to 0.82 of the limit, 25 to 30 requests where the
budgets added up to 13: each ingress counted in windows of its own, and two budgets could fall into
one window of the rule.

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


def test_notified_ingresses_do_not_overload_a_starting_backend(tmp_path: Path) -> None:
    """Guards against budgets that rise with concurrency or add up within one window."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result, evidence = runner.run(asyncio.wait_for(run_plan(PLAN, tmp_path), TIMEOUT_S))
    assert len(evidence.record.backend_starts) == 3
    rules = ("slow_start", "slow_start_room")
    assert [found for found in result.violations if found.rule in rules] == []
