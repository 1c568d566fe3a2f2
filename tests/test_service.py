"""The service as a whole: startup, signals, configuration reload and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Generator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from sumacpost.config import read_config
from sumacpost.counter.client import CounterClient
from sumacpost.model import CounterReplied, Outcome
from sumacpost.service import ConfigReloader, Service, serve
from tests.support.configuration import MINIMAL_CONFIG, SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.discovery_agent import endpoint_entry, endpoint_list, list_response
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, Client, request
from tests.support.ingress import running_ingress
from tests.support.paths import ROOT
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond, send_bytes
from tests.support.program import end_program


@dataclass
class LoggingProgram:
    """The ingress as a process whose log the test reads."""

    process: asyncio.subprocess.Process
    log: asyncio.StreamReader

    async def read_log_until(self, text: bytes) -> bytes:
        """Return the next log line that contains the text."""
        while text not in (line := await self.log.readline()):
            assert line, "the process has ended"
        return line


@asynccontextmanager
async def logging_program(config_file: Path, *arguments: str) -> AsyncIterator[LoggingProgram]:
    """Run the ingress with this configuration file; kill it if it has not exited at the end.

    arguments: those of the interpreter; by default they start the installed program.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *(arguments or ("-m", "sumacpost")),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"RELAY_CONFIG": str(config_file)},
    )
    assert process.stderr is not None
    try:
        yield LoggingProgram(process, process.stderr)
    finally:
        await end_program(process)


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGINT])
def test_program_serves_from_its_cached_endpoint_list_and_exits_cleanly(
    tmp_path: Path, end_signal: signal.Signals
) -> None:
    """The discovery agent is unreachable."""
    config_file = tmp_path / "config.json"

    async def test() -> None:
        backend = Peer(respond())
        await backend.start()
        cached = endpoint_list(3, endpoint_entry(backend, "s-1"))
        config_file.write_text(json.dumps(MINIMAL_CONFIG | {"known": cached}))
        async with logging_program(config_file) as program:
            serving = await program.read_log_until(b"serving: name=")
            port = int(serving.split(b" address=127.0.0.1:")[1].split(b" ")[0])
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.send(HEALTH_REQUEST)).status == 200
            assert (await client.send(request())).status == 200
            program.process.send_signal(end_signal)
            assert await program.process.wait() == 0
        backend.stop()

    run(test())


PROCESSES = 3  # that are ended in turn: a signal may miss the end of one
SIGNAL_GAP_S = 0.0001  # short against the end of the interpreter, which takes milliseconds
# The ingress in a process with a second thread, as the event loop starts them to resolve addresses.
PROGRAM_WITH_THREAD = """
import sys, threading, time
from sumacpost.service import main
threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
sys.exit(main())
"""


def send_until_exit(pid: int, signum: signal.Signals) -> None:
    """Send a signal again and again until the process has been waited for.

    Without the pauses the process has a signal to handle at each step, and its end can take longer
    than the test may.
    """
    with suppress(ProcessLookupError):
        while True:
            os.kill(pid, signum)
            time.sleep(SIGNAL_GAP_S)


def test_signals_up_to_the_very_end_of_the_process_leave_its_exit_status_0(tmp_path: Path) -> None:
    # Guards against an exit by SIGINT where another thread receives it after the drain.
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(MINIMAL_CONFIG))

    async def test() -> None:
        for _ in range(PROCESSES):
            async with logging_program(config_file, "-c", PROGRAM_WITH_THREAD) as program:
                await program.read_log_until(b"serving: name=")
                sender = asyncio.create_task(
                    asyncio.to_thread(send_until_exit, program.process.pid, signal.SIGINT)
                )
                assert await program.process.wait() == 0
                await sender

    run(test())


def test_reload_moves_discovery_and_counter_and_loses_no_counter_call() -> None:
    settings = {"extra": SETTINGS["extra"] | {"count_wait": 5000.0}}

    async def test() -> None:
        new_backend = Peer(respond(b"new"))
        await new_backend.start()

        async def full_list(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if b"from=" not in data:
                # The version is lower than that of the old agent's list.
                writer.write(list_response(new_backend, "s-new", 2))

        new_agent = Peer(full_list)
        await new_agent.start()
        new_counter = Peer(send_bytes(b"$1\r\n1\r\n", close=False), read_counter_call)
        await new_counter.start()
        async with running_ingress(
            respond(b"old"), counter=never_respond, settings=settings
        ) as ingress:
            await until(lambda: len(ingress.discovery.requests) == 1)
            replies: list[CounterReplied] = []
            ingress.counter_client._on_reply = replies.append
            ingress.counter_client.call(7, 1.0, 1000.0)
            await until(lambda: len(ingress.counter.requests) == 1)
            moved = {"discovery": new_agent.address, "counter": new_counter.address}
            ingress.service.reload(read_config(json.dumps(ingress.config | moved)))
            await until(lambda: len(new_agent.requests) == 2 and new_counter.connections == 1)
            assert b"from=" not in new_agent.requests[0]
            assert b"from=2&" in new_agent.requests[1]
            await until(lambda: ingress.discovery.connections_closed == 1)
            # The call on the old connection gets its reply on that connection.
            ingress.counter.writers[0].write(b"$1\r\n4\r\n")
            await until(lambda: len(replies) == 1)
            assert replies[0].outcome is Outcome.OK
            assert replies[0].total == 4
            await until(lambda: ingress.counter.connections_closed == 1)
            ingress.counter_client.call(8, 1.0, 1000.0)
            await until(lambda: len(replies) >= 2)
            assert replies[1].outcome is Outcome.OK
            assert (await ingress.send(request())).body == b"new"
            for peer in (new_agent, new_counter, new_backend):
                peer.stop()

    run(test())


def test_sighup_reloads_the_file_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    config_file = tmp_path / "config.json"

    async def test() -> None:
        backend = Peer(respond())
        first_agent = Peer(never_respond)
        second_agent = Peer(never_respond)
        for peer in (backend, first_agent, second_agent):
            await peer.start()
        config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": first_agent.address,
            "seed": "07",
            "settings": SETTINGS,
            "known": endpoint_list(5, endpoint_entry(backend, "s-0")),
        }
        config_file.write_text(json.dumps(config))
        async with logging_program(config_file) as program:
            await program.read_log_until(b"serving: name=n0 ")
            config_file.write_text("{")
            program.process.send_signal(signal.SIGHUP)
            await program.read_log_until(b"configuration rejected: error=")
            config_file.write_text(json.dumps(config | {"discovery": second_agent.address}))
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: second_agent.connections == 1)
            program.process.send_signal(signal.SIGTERM)
            assert await program.process.wait() == 0
        for peer in (backend, first_agent, second_agent):
            peer.stop()

    run(test())


@pytest.fixture
def restored_sighup() -> Generator[None, None, None]:
    handler = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, handler)


@pytest.mark.usefixtures("restored_sighup")
def test_sighup_before_the_service_exists_causes_a_reload_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reloaded: list[str] = []

    class RecordingService:
        def reload(self, config: str) -> None:
            reloaded.append(config)

    def load_in_steps(path: str) -> Generator[None, None, str]:
        yield
        return path

    async def test() -> None:
        monkeypatch.setattr("sumacpost.service.load_config_in_steps", load_in_steps)
        reloader.attach(RecordingService(), "the file")  # type: ignore[arg-type]
        await until(lambda: bool(reloaded))

    reloader = ConfigReloader()
    os.kill(os.getpid(), signal.SIGHUP)  # would end the program if it were not handled
    run(test())
    assert reloaded == ["the file"]


def test_stop_during_startup_opens_no_listener(monkeypatch: pytest.MonkeyPatch) -> None:
    """`stop` is set during the first attempt to connect to the counter."""
    connect_events: list[asyncio.Event] = []

    async def hang(counter: CounterClient, first_connect_attempted: asyncio.Event) -> None:
        connect_events.append(first_connect_attempted)
        await asyncio.Event().wait()

    monkeypatch.setattr(CounterClient, "run", hang)
    settings = SETTINGS | {"extra": SETTINGS["extra"] | {"has_counter": True}}
    changes = {"counter": "127.0.0.1:1", "settings": settings}
    config = read_config(json.dumps(MINIMAL_CONFIG | changes))

    async def test() -> None:
        stop = asyncio.Event()
        serving: list[Service] = []
        task = asyncio.create_task(serve(config, stop, serving.append))
        await until(lambda: bool(connect_events))
        stop.set()
        connect_events[0].set()
        await task
        assert not serving

    run(test())


def test_reload_during_or_after_a_drain_changes_nothing() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            config = read_config(json.dumps(ingress.config))
            client = await ingress.client()
            client.write(request(Request_Timeout=LONG_TIMEOUT))
            await ingress.wait_for_requests(1)
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            ingress.service.reload(config)
            ingress.service.reload(config)
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            await ingress.task
            ingress.service.reload(config)  # no task is restarted after the shutdown
            discovery_task = ingress.service._discovery_task
            assert discovery_task is not None
            await until(discovery_task._task.done)

    run(test())


def test_an_internal_error_during_a_reload_is_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, tmp_path: Path
) -> None:
    config_file = tmp_path / "config.json"

    def fail(*_: Any) -> None:
        raise RuntimeError("a fault")

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            config_file.write_text(json.dumps(ingress.config))
            monkeypatch.setattr(ingress.service, "reload", fail)
            reloader = ConfigReloader()
            reloader.attach(ingress.service, str(config_file))
            reloader.request_reload()
            await until(lambda: "configuration reload failed" in caplog.text)
            assert (await ingress.send(request())).status == 200

    handler = signal.getsignal(signal.SIGHUP)
    try:
        run(test())
    finally:
        signal.signal(signal.SIGHUP, handler)


def test_signals_during_exit_do_not_change_the_exit_status(tmp_path: Path) -> None:
    """The event loop restores the default action of SIGHUP before the interpreter exits.

    A SIGHUP in between would end the process by the signal, as if it had crashed.
    """
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(MINIMAL_CONFIG))

    async def test() -> None:
        async with logging_program(config_file) as program:
            await program.read_log_until(b"serving: name=")
            program.process.send_signal(signal.SIGTERM)
            while program.process.returncode is None:
                program.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.002)
            assert program.process.returncode == 0

    run(test())
