"""A run records everything that the oracles read."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import uvloop

from fleetlab.soak.run import run_plan
from fleetlab.soak.schedule import FaultKind, PlannedFault, make_plan


def test_run_records_what_the_oracles_read(tmp_path: Path) -> None:
    """Guards against oracles that pass because the observations they need are missing.

    A backend drains and restarts. The changes of the endpoint list itself and the notifications of
    the ingress have to be recorded.
    """
    drain = PlannedFault(0.5, FaultKind.BACKEND_DRAINS, 0, 0.2)
    plan = replace(make_plan(1, 1, 3.0), faults=(drain,), crowd=False)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result, evidence = runner.run(run_plan(plan, tmp_path))
    record = evidence.record
    assert result.violations == []
    for ingress in ("", "n0"):
        states = [change.state for change in record.list_changes if change.ingress == ingress]
        assert states == ["leaving", "left", "active"]
    assert [start.incarnation for start in record.backend_starts] == [1]
    assert record.requests
    assert record.attempts
    assert [process_record.exit_code for process_record in record.lives] == [0]
    assert evidence.accepted_ids()
    assert evidence.has_drained(record.lives[0])
