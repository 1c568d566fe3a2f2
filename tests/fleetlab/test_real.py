"""Tests of the measurement of a real ingress process with stand-in servers."""

from __future__ import annotations

import asyncio

import pytest

from fleetlab import real
from fleetlab.discovery_server import ResponseMode
from fleetlab.real_environment import RealRun


@pytest.fixture(autouse=True)
def short_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("fleetlab.real_session.DRAIN_WATCH_S", 1.5)


def test_a_real_ingress_serves_while_a_backend_drains() -> None:
    run = RealRun(backends=20, seconds=0.5, seed=1, rate=50.0)
    figures = asyncio.run(real.measure(run))
    assert figures["served"]
    assert figures["refused"] is not None
    assert figures["unanswered"] is not None
    assert figures["leaving_entries"] == 1
    assert figures["requests"] == figures["served"] + figures["refused"] + figures["unanswered"]
    assert figures["healthz_worst_ms"] is not None
    assert figures["agent_bytes_per_min"]


def test_an_unreadable_list_yields_figures_without_an_exception() -> None:
    run = RealRun(backends=20, mode=ResponseMode.NOT_A_LIST, seconds=0.5, seed=1, rate=50.0)
    figures = asyncio.run(real.measure(run))
    assert figures["ready_s"] is None
    assert "requests" not in figures
    assert figures["healthz_worst_ms"] is not None
    assert figures["agent_bytes_per_min"]
