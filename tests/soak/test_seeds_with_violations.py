"""Soak seeds that have shown a violation.

With seed 139, a starting backend once received 130 requests in a window that allows 107.3: 98 from
five ingresses that had been notified of the start, and 32 from one that was notified 1.4 s late.
The five used the limit of the whole window, so that over two thirds came from them. The cause, and
the change that restricts them to two thirds of the limit:
docs/incidents/2026-12-03-starting-backends-overloaded.md.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import uvloop

from fleetlab.soak.run import run_plan
from fleetlab.soak.schedule import make_plan

TIMEOUT_S = 90.0


def test_seed_139_overloads_no_starting_backend(tmp_path: Path) -> None:
    """Guards against notified ingresses that use the whole limit, so that a late one exceeds it."""
    plan = make_plan(139, 10, 10.0)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result, _ = runner.run(asyncio.wait_for(run_plan(plan, tmp_path), TIMEOUT_S))
    assert [found for found in result.violations if found.rule == "slow_start"] == []
