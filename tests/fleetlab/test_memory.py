"""Tests of the memory run: a real ingress beside hostile clients and backends."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from fleetlab.command import main
from fleetlab.memory.hostile_backends import BackendKind
from fleetlab.memory.hostile_clients import ClientKind
from fleetlab.memory.run import MemoryRun, measure


@pytest.fixture(autouse=True)
def short_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("fleetlab.memory.run.CALM_S", 0.5)
    monkeypatch.setattr("fleetlab.memory.run.RECOVERY_S", 0.5)


@pytest.mark.parametrize(
    ("clients", "backends"),
    [
        (ClientKind.NONE, BackendKind.NONE),
        (ClientKind.ENDLESS_HEADS, BackendKind.NONE),
        (ClientKind.HELD_HEADS, BackendKind.NONE),
        (ClientKind.HELD_CHUNKS, BackendKind.NONE),
        (ClientKind.TRAILERS, BackendKind.NONE),
        (ClientKind.BODIES, BackendKind.NONE),
        (ClientKind.UNREAD_RESPONSES, BackendKind.NONE),
        (ClientKind.NONE, BackendKind.ENDLESS_BODIES),
        (ClientKind.NONE, BackendKind.TRAILERS),
        (ClientKind.NONE, BackendKind.LONG_TRAILER),
    ],
)
def test_hostile_peers_do_not_take_an_ingress_over_its_memory_limit(
    clients: ClientKind, backends: BackendKind
) -> None:
    # Guards against what peers send costing far more memory than bytes, or adding up without bound.
    figures = asyncio.run(
        measure(MemoryRun(clients=clients, backends=backends, client_count=60, seconds=1.5))
    )
    assert figures["over_limit"] == 0
    assert figures["requests"]


def test_the_command_writes_the_result_and_fails_beyond_the_limit(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleetlab.memory.run.peak_mb", lambda _pid: 64.1)
    assert main(["memory", "--out", str(tmp_path), "--seconds", "0.2"]) == 2
    assert "exceeded the limit of 64 MB" in capsys.readouterr().err
    assert (tmp_path / "memory.jsonl").read_text().count("memory-none-none") == 1
