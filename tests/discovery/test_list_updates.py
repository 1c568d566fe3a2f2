"""How a running ingress follows discovery."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from sumacpost.config import read_config
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from tests.support.discovery_agent import target
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import world
from tests.support.peers import Peer, answer, silence


def lists(*answers: Any) -> Any:
    """A script for discovery: one answer for each call, then silence."""
    left = list(answers)

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        if left:
            said = left.pop(0)
            body = said() if callable(said) else said
            body = body if isinstance(body, bytes) else json.dumps(body).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    return script


def paths(peer: Peer) -> list[bytes]:
    return [r.split()[1] for r in peer.requests]


def test_the_watch_follows_changes_and_is_renewed_on_the_same_connection() -> None:
    async def test() -> None:
        extra = Peer(answer(b"new"))
        await extra.start()
        changed = {"rev": 6, "all": False, "targets": [target(extra, "s-9")]}

        def gone() -> Any:
            return {"rev": 7, "all": False, "targets": [target(w.backends[0], "s-0", "leaving")]}

        async with world(answer(b"old"), discovery=lists(changed, gone)) as w:
            await until(lambda: len(w.discovery.requests) == 3)
            assert paths(w.discovery) == [
                b"/v1/servers?from=%d&hold_ms=1000" % n for n in (5, 6, 7)
            ]
            assert w.discovery.connections == 1
            # the leaving backend gets nothing new
            assert [(await w.ask(request(number=n)))[2] for n in range(10)] == [b"new"] * 10
        extra.stop()

    run(test())


@pytest.mark.parametrize(
    "nonsense",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {"rev": 2, "all": False, "targets": []},
        {"rev": "x", "all": True, "targets": []},
        {"rev": 9, "all": False, "targets": [{"uid": "s-0"}]},
    ],
)
def test_after_nonsense_the_whole_list_is_asked_for_and_service_goes_on(nonsense: Any) -> None:
    async def test() -> None:
        async with world(answer(), discovery=lists(nonsense)) as w:
            await until(lambda: len(w.discovery.requests) == 2)
            assert paths(w.discovery) == [b"/v1/servers?from=5&hold_ms=1000", b"/v1/servers"]
            assert (await w.ask(request()))[0] == 200

    run(test())


def test_a_whole_list_takes_away_what_it_does_not_name() -> None:
    async def test() -> None:
        extra = Peer(answer(b"new"))
        await extra.start()
        whole = {"rev": 1, "all": True, "targets": [target(extra, "s-9")]}
        async with world(answer(b"old"), discovery=lists(whole)) as w:
            await until(lambda: len(w.discovery.requests) == 2)
            assert [(await w.ask(request(number=n)))[2] for n in range(5)] == [b"new"] * 5
            assert paths(w.discovery)[1] == b"/v1/servers?from=1&hold_ms=1000"
        extra.stop()

    run(test())


def test_a_watch_that_is_reset_is_opened_anew_where_it_stood() -> None:
    async def test() -> None:
        async def then_reset(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                writer.transport.abort()

        async with world(answer(), discovery=then_reset) as w:
            await until(lambda: len(w.discovery.requests) == 2)
            assert w.discovery.connections == 2 and b"from=5&" in w.discovery.requests[1]
            body = json.dumps(
                {"rev": 6, "all": False, "targets": [target(w.backends[0], "s-0", "leaving")]}
            ).encode()
            w.discovery.writers[1].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await until(lambda: len(w.discovery.requests) == 3)
            assert (await w.ask(request()))[0] == 429  # the only backend drains

    run(test())


@pytest.mark.parametrize("rev", [3, 9])
@pytest.mark.parametrize("whole", [True, False])
def test_what_the_agent_has_goes_before_a_cached_list_newer_or_older(rev: int, whole: bool) -> None:
    """The cached one is of version 5; changes up to an older one fit no list, so the whole one is asked for."""

    async def test() -> None:
        extra = Peer(answer(b"agent"))
        await extra.start()

        async def tell(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            asked_whole = b"from=" not in data
            if len(peer.requests) == 1 or asked_whole:
                targets = [target(extra, "s-9")]
                if not (whole or asked_whole):
                    targets.append(target(w.backends[0], "s-0", "left"))
                body = json.dumps(
                    {"rev": rev, "all": whole or asked_whole, "targets": targets}
                ).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        async with world(answer(b"cached"), discovery=tell) as w:
            await until(lambda: any(b"from=%d&" % rev in r for r in w.discovery.requests))
            assert [(await w.ask(request(number=n)))[2] for n in range(5)] == [b"agent"] * 5
            assert any(b"from=" not in r for r in w.discovery.requests) is (rev < 5 and not whole)
        extra.stop()

    run(test())


def test_the_return_of_a_silent_agent_is_seen_within_the_grace_of_a_drain() -> None:
    """What the agent has at its return counts as told at once; a call that may wait for a second would come too late."""

    async def test() -> None:
        async with world(silence) as w:
            await until(lambda: len(w.discovery.requests) == 2)  # the first watch fell silent
            watch, after = (r.split()[1] for r in w.discovery.requests)
            assert (watch, after) == (
                b"/v1/servers?from=5&hold_ms=1000",
                b"/v1/servers?from=5&hold_ms=1",
            )
            body = json.dumps(
                {"rev": 6, "all": False, "targets": [target(w.backends[0], "s-0", "leaving")]}
            ).encode()
            w.discovery.writers[-1].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await until(lambda: len(w.discovery.requests) == 3)
            assert (
                w.discovery.requests[2].split()[1] == b"/v1/servers?from=6&hold_ms=1000"
            )  # a watch again
            assert (await w.ask(request()))[0] == 429  # the only backend drains

    run(test())


@pytest.mark.parametrize(("grace_s", "late_s"), [(1.0, 0.5), (0.4, 0.2), (60.0, 0.5), (0.0, 0.1)])
def test_an_agent_is_taken_for_silent_well_within_the_grace_of_a_drain(
    grace_s: float, late_s: float
) -> None:
    watch = DiscoveryWatch(
        ("127.0.0.1", 1), EndpointListReader((), ()), 0, lambda *_: None, grace_s
    )
    assert watch._response_timeout_s == late_s


def test_a_list_indented_and_in_pieces_is_read_whole() -> None:
    async def test() -> None:
        extra = Peer(answer(b"new"))
        await extra.start()

        async def pieces(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                body = json.dumps(
                    {"rev": 6, "all": True, "targets": [target(extra, "s-9")]}, indent=4
                ).encode()
                for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body):
                    writer.write(bytes([byte]))
                    await writer.drain()

        async with world(answer(b"old"), discovery=pieces) as w:
            await until(lambda: len(w.discovery.requests) == 2)
            assert (await w.ask(request()))[2] == b"new"
        extra.stop()

    run(test())


def test_a_move_while_a_list_is_coming_believes_the_new_agent_alone() -> None:
    """The first half of the old agent's list is in when SIGHUP comes; the rest follows in the same turn of the loop."""

    async def test() -> None:
        old, new = Peer(answer(b"old")), Peer(answer(b"new"))
        for peer in (old, new):
            await peer.start()

        def listed(peer: Peer, uid: str, rev: int) -> bytes:
            body = json.dumps({"rev": rev, "all": True, "targets": [target(peer, uid)]}).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

        async def tell(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                writer.write(listed(new, "s-new", 2))

        agent = Peer(tell)
        await agent.start()
        async with world(answer(b"first")) as w:
            await until(lambda: len(w.discovery.requests) == 1)
            stale = listed(old, "s-old", 9)
            w.discovery.writers[0].write(stale[:60])
            await asyncio.sleep(0.02)
            config = read_config(json.dumps(w.config | {"discovery": agent.address}))
            w.discovery.writers[0].write(stale[60:])
            w.service.reload(config)
            w.service.reload(config)  # twice in a row
            await until(lambda: len(agent.requests) >= 2)
            assert agent.requests[-1].split()[1].startswith(b"/v1/servers?from=2&")
            assert (await w.ask(request()))[2] == b"new"
        for peer in (agent, old, new):
            peer.stop()

    run(test())


def test_a_watch_whose_connection_fell_silent_is_begun_anew_within_two_seconds() -> None:
    """Found on the incident re163d6: the list stood still for 11 s while every backend was replaced."""

    async def test() -> None:
        async with world(answer()) as w:  # the agent never answers
            await until(lambda: len(w.discovery.requests) == 1)
            began = asyncio.get_running_loop().time()
            await until(lambda: w.discovery.connections == 2)
            assert asyncio.get_running_loop().time() - began < 5

    run(test())
