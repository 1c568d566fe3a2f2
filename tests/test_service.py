"""The service as a whole: signals, a new configuration, start and end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

from sumacpost.config import read_config
from sumacpost.counter.client import CounterClient
from sumacpost.model import Outcome
from sumacpost.service import serve
from tests.support.configuration import MINIMAL_CONFIG, SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.discovery_agent import endpoint_entry, list_response
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, Client, request
from tests.support.ingress import running_ingress
from tests.support.paths import ROOT
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond, send_bytes


async def spawn(
    config: dict[str, Any], tmp_path: Path
) -> tuple[asyncio.subprocess.Process, Client]:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sumacpost",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"RELAY_CONFIG": str(path)},
    )
    while b"serving: name=" not in (line := await process.stderr.readline()):
        assert line
    port = int(line.split(b" address=127.0.0.1:")[1].split(b" ")[0])
    return process, Client(*await asyncio.open_connection("127.0.0.1", port))


def test_the_program_serves_ends_at_sigterm_and_serves_again_from_what_was_known(
    tmp_path: Path,
) -> None:
    """Discovery is not there at all: the last known list is enough."""

    async def test() -> None:
        backend = Peer(respond())
        await backend.start()
        config = MINIMAL_CONFIG | {
            "known": {"rev": 3, "all": True, "targets": [endpoint_entry(backend, "s-1")]}
        }
        for number in (1, 2):
            process, client = await spawn(config, tmp_path)
            assert (await client.send(HEALTH_REQUEST)).status == 200
            assert (await client.send(request(number=number))).status == 200
            process.send_signal(signal.SIGTERM if number == 1 else signal.SIGINT)
            assert await process.wait() == 0
        backend.stop()

    run(test())


def test_a_reload_moves_discovery_and_counter_and_loses_no_call() -> None:
    async def test() -> None:
        patient = {"extra": SETTINGS["extra"] | {"count_wait": 5000.0}}
        async with running_ingress(
            respond(b"old"), counter=never_respond, settings=patient
        ) as ingress:
            await until(lambda: len(ingress.discovery.requests) == 1)
            new_backend, counter = (
                Peer(respond(b"new")),
                Peer(send_bytes(b"$1\r\n1\r\n", close=False), read_counter_call),
            )
            await new_backend.start()

            async def tell(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
                if b"from=" not in data:
                    writer.write(
                        list_response(new_backend, "s-new", 2)
                    )  # of a lower version than the old agent's

            agent = Peer(tell)
            await agent.start()
            await counter.start()
            told = []
            ingress.counter_client._on_reply = told.append
            ingress.counter_client.call(7, 1.0, 1000.0)
            await until(lambda: len(ingress.counter.requests) == 1)
            ingress.service.reload(
                read_config(
                    json.dumps(
                        ingress.config | {"discovery": agent.address, "counter": counter.address}
                    )
                )
            )
            await until(lambda: len(agent.requests) == 2 and counter.connections == 1)
            assert b"from=" not in agent.requests[0]
            assert b"from=2&" in agent.requests[1]
            await until(lambda: ingress.discovery.closed == 1)
            ingress.counter.writers[0].write(
                b"$1\r\n4\r\n"
            )  # the call on the old connection has its answer
            await until(lambda: len(told) == 1)
            assert told[0].outcome is Outcome.OK
            assert told[0].total == 4
            await until(lambda: ingress.counter.closed == 1)
            ingress.counter_client.call(8, 1.0, 1000.0)
            await until(lambda: len(told) >= 2)
            assert told[1].outcome is Outcome.OK
            assert (await ingress.send(request())).body == b"new"
            for peer in (agent, counter, new_backend):
                peer.stop()

    run(test())


def test_sighup_rereads_the_file_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        backend, first, second = Peer(respond()), Peer(never_respond), Peer(never_respond)
        for peer in (backend, first, second):
            await peer.start()
        path = tmp_path / "config.json"
        config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": first.address,
            "seed": "07",
            "settings": SETTINGS,
            "known": {"rev": 5, "all": True, "targets": [endpoint_entry(backend, "s-0")]},
        }
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sumacpost",
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, "RELAY_CONFIG": str(path)},
        )
        assert process.stderr is not None
        while b"serving: name=n0 " not in await process.stderr.readline():
            pass
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"configuration rejected: error=" not in await process.stderr.readline():
            pass
        path.write_text(json.dumps(config | {"discovery": second.address}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: second.connections == 1)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for peer in (backend, first, second):
            peer.stop()

    run(test())


def test_sighup_before_the_service_is_there_is_kept_for_it(monkeypatch: pytest.MonkeyPatch) -> None:
    from sumacpost.service import ConfigReloader

    before = signal.getsignal(signal.SIGHUP)
    read: list[str] = []
    try:
        reloader = ConfigReloader()
        os.kill(os.getpid(), signal.SIGHUP)  # would end the program

        class Service:
            def reload(self, config: str) -> None:
                read.append(config)

        def steps(path: str) -> Generator[None, None, str]:
            yield
            return path

        async def test() -> None:
            monkeypatch.setattr("sumacpost.service.load_config_in_steps", steps)
            reloader.attach(Service(), "the file")  # type: ignore[arg-type]
            await until(lambda: bool(read))

        run(test())
    finally:
        signal.signal(signal.SIGHUP, before)
    assert read == ["the file"]


def test_the_door_stays_shut_where_the_end_comes_before_it_opens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM while the counter is first tried: nobody has come in yet."""

    async def test() -> None:
        tried: list[asyncio.Event] = []

        async def hang(counter: CounterClient, first_try: asyncio.Event) -> None:
            tried.append(first_try)
            await asyncio.Event().wait()

        monkeypatch.setattr(CounterClient, "run", hang)
        extra = SETTINGS["extra"] | {"has_counter": True}
        config = read_config(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:1",
                    "counter": "127.0.0.1:1",
                    "settings": SETTINGS | {"extra": extra},
                }
            )
        )
        stop, opened = asyncio.Event(), []
        task = asyncio.create_task(serve(config, stop, opened.append))
        await until(lambda: bool(tried))
        stop.set()
        tried[0].set()
        await task
        assert not opened

    run(test())


def test_a_new_configuration_in_the_midst_of_a_drain_changes_nothing_that_is_owed() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.writer.write(request("vat-filing", Request_Timeout=LONG_TIMEOUT))
            await until(lambda: ingress.requests_received == 1)
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            for _ in range(2):
                ingress.service.reload(read_config(json.dumps(ingress.config)))
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            await ingress.task
            ingress.service.reload(
                read_config(json.dumps(ingress.config))
            )  # after the end no task begins anew
            watch = ingress.service._discovery_task._task
            await until(watch.done)

    run(test())
