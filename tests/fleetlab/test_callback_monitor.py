"""The monitor of an event loop's callbacks, alone and in a memory run."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
import pytest

from fleetlab.callback_monitor import SLOW_CALLBACK_S, CallbackMonitor, CallbackTimes
from fleetlab.command import main


def spend(seconds: float) -> None:
    """Use the processor for some time."""
    end = time.thread_time() + seconds
    while time.thread_time() < end:
        pass


class SlowProtocol(asyncio.Protocol):
    """A protocol whose input takes long."""

    def data_received(self, data: bytes) -> None:
        spend(2 * SLOW_CALLBACK_S)


def test_slow_callbacks_are_counted_by_their_names() -> None:
    monitor = CallbackMonitor()

    class MonitoredProtocol(SlowProtocol):
        pass

    monitor.monitor_protocol(MonitoredProtocol)

    async def slow_task() -> None:
        await asyncio.sleep(0)
        spend(2 * SLOW_CALLBACK_S)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(spend, 2 * SLOW_CALLBACK_S)
        loop.call_later(0.001, spend, 0.0)
        await asyncio.create_task(slow_task())
        MonitoredProtocol().data_received(b"")
        await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=monitor.new_event_loop) as runner:
        runner.run(test())
    assert monitor.times["spend"].calls == 2
    assert monitor.times["spend"].slow_calls == 1
    (task_name,) = [name for name in monitor.times if name.endswith("slow_task")]
    assert monitor.times[task_name].slow_calls == 1
    assert monitor.times[task_name].longest_ms >= 2000 * SLOW_CALLBACK_S


def test_a_memory_run_writes_the_times_of_the_ingress(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleetlab.memory.run.CALM_S", 0.5)
    monkeypatch.setattr("fleetlab.memory.run.RECOVERY_S", 0.5)
    options = ["--clients", "at-once", "--count", "5", "--seconds", "0.5", "--callbacks"]
    assert main(["memory", "--out", str(tmp_path), *options]) == 0
    data = (tmp_path / "callbacks.json").read_bytes()
    times = msgspec.json.decode(data, type=dict[str, CallbackTimes])
    assert times["TurnScheduler._serve_queue"].calls > 0
    assert times["BackendConnection.data_received"].calls > 0
    assert "TurnScheduler._serve_queue" in capsys.readouterr().out
