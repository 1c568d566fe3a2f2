"""The budget for what peers make an ingress hold, alone and in a running ingress."""

from __future__ import annotations

import asyncio
import gc
import socket

import pytest

from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.http_message import MAX_BODY_BYTES
from sumacpost.memory_budget import MAX_COMPARED, MAX_RELEASED, MemoryBudget
from sumacpost.policy.memory_limits import MB, MemoryLimits, holder_to_release
from sumacpost.proxied_request import ProxiedRequest
from sumacpost.server.request import Request
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, Client, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond

MEMORY_MB = 41  # of which peers may make the ingress hold 2 MB, and requests 1 MB
HELD_BODY = b"x" * (MAX_BODY_BYTES - 100)
HELD_REQUEST = (
    b"POST /vat-filing/1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES + HELD_BODY
)


class Holder:
    """A holder that gives up a part of what it holds."""

    def __init__(self, budget: MemoryBudget, keeps: int = 0) -> None:
        self.released = 0
        self._budget = budget
        self._keeps = keeps

    def release_memory(self) -> None:
        self.released += 1
        self._budget.set_held(self, self._keeps)


def test_holders_are_released_from_the_largest_on_until_the_limit_is_kept() -> None:
    budget = MemoryBudget(MemoryLimits(100, 50))
    holders = [Holder(budget) for _ in range(3)]
    for holder, size in zip(holders, (40, 70, 60), strict=True):
        budget.set_held(holder, size)
    budget.enforce()
    assert [holder.released for holder in holders] == [0, 1, 0]
    assert budget.held_bytes == 100


def test_a_holder_that_gives_up_nothing_does_not_block_the_others() -> None:
    budget = MemoryBudget(MemoryLimits(100, 50))
    holder = Holder(budget, keeps=200)
    budget.set_held(holder, 200)
    budget.enforce()
    assert holder.released == 1
    budget.set_held(holder, 0)
    assert budget.held_bytes == 0


def test_few_of_many_holders_are_compared_and_released(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a callback whose cost grows with the number of connections that hold memory.
    compared = []

    def record_compared(limits: MemoryLimits, held: int, holders: dict[Holder, int]) -> object:
        compared.append(len(holders))
        return holder_to_release(limits, held, holders)

    monkeypatch.setattr("sumacpost.memory_budget.holder_to_release", record_compared)
    budget = MemoryBudget(MemoryLimits(100, 50))
    holders = [Holder(budget, keeps=4) for _ in range(10_000)]
    for number, holder in enumerate(holders):
        budget.set_held(holder, 5 + number % 100)
    budget.enforce()
    assert sum(compared) <= MAX_COMPARED * MAX_RELEASED
    released = [number for number, holder in enumerate(holders) if holder.released]
    assert len(released) == MAX_RELEASED
    assert all(2 * (5 + number % 100) >= 104 for number in released)


def test_holders_that_give_up_nothing_do_not_block_smaller_ones() -> None:
    budget = MemoryBudget(MemoryLimits(100, 50))
    for _ in range(3):
        budget.set_held(Holder(budget, keeps=33), 33)
    holder = Holder(budget)
    budget.set_held(holder, 32)
    budget.enforce()
    assert holder.released == 1
    assert budget.held_bytes == 99


def test_requests_count_towards_the_whole_and_towards_their_own_limit() -> None:
    budget = MemoryBudget(MemoryLimits(100, 50))
    assert budget.reserve_request(30)
    assert not budget.reserve_request(30)
    holder = Holder(budget)
    budget.set_held(holder, 71)
    budget.enforce()
    assert holder.released == 1
    budget.release_request(30)
    assert budget.held_bytes == budget.request_bytes == 0


def keyed_request(number: int, body: bytes = HELD_BODY) -> bytes:
    return request("vat-filing", number, body=body.decode(), Request_Timeout=LONG_TIMEOUT)


def test_requests_beyond_the_memory_for_them_are_rejected_until_others_have_ended() -> None:
    # Guards against valid requests with long bodies that together exceed the memory limit.
    async def test() -> None:
        async with running_ingress(
            *[never_respond] * 8, memory_mb=MEMORY_MB, sockets=1024
        ) as ingress:
            clients = [await ingress.client() for _ in range(12)]
            for number, client in enumerate(clients):
                client.write(keyed_request(number))
            counts = ingress.instance.recorder.counts
            await until(lambda: counts[EventKind.REQUEST_REFUSED, "429"] == 5)
            held = ingress.instance.memory
            assert counts[EventKind.REQUEST_ACCEPTED, "serving"] == 7
            assert held.limits.requests * 6 / 8 < held.request_bytes <= held.limits.requests
            for client in clients:
                client.disconnect("closed")
            await until(lambda: held.held_bytes == 0)
            for backend in ingress.backends:
                backend.script = respond()
            assert (await ingress.send(keyed_request(50))).status == 200

    run(test())


def test_incomplete_requests_beyond_the_budget_are_refused_and_usual_ones_served() -> None:
    # Guards against clients that stop in the middle of long bodies and stay.
    async def test() -> None:
        async with running_ingress(respond(), memory_mb=MEMORY_MB) as ingress:
            held = ingress.instance.memory
            clients = [await ingress.client() for _ in range(60)]
            for client in clients:
                client.write(HELD_REQUEST)
            refused = asyncio.gather(*(client.read_response() for client in clients))
            await until(lambda: ingress.instance.recorder.counts.total() >= 25)
            assert held.held_bytes <= held.limits.total
            assert (await ingress.send(request(number=70))).status == 200
            statuses = [response.status for response in await refused]
            assert statuses.count(429) >= 25  # the others time out with 408
            assert set(statuses) == {408, 429}
            await until(lambda: ingress.server.connections.is_empty)
            assert held.held_bytes == 0

    run(test())


def test_incomplete_responses_beyond_the_budget_are_rejected() -> None:
    # Guards against long responses of several backends that together exceed the memory limit.
    async def send_partly(_peer: Peer, _data: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n")
        for _ in range(69):
            writer.write(b"x" * 10_000)
            await asyncio.sleep(0.002)

    async def test() -> None:
        async with running_ingress(*[send_partly] * 8, memory_mb=MEMORY_MB) as ingress:
            held = ingress.instance.memory
            most = 0
            clients = [await ingress.client() for _ in range(8)]
            for number, client in enumerate(clients):
                client.write(request("ledger-read", number, Request_Timeout="1.000"))
            answers = asyncio.gather(*(client.read_response() for client in clients))
            while not answers.done():
                await asyncio.sleep(0.001)
                most = max(most, held.held_bytes)
            assert most <= held.limits.total + 2 * 256 * 1024  # exceeded by a read at most
            assert held.held_bytes == 0

    run(test())


def test_a_client_that_reads_no_responses_is_ended_once_they_hold_too_much() -> None:
    # Guards against responses that pile up for clients that never read.
    async def respond_long(_peer: Peer, _data: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + b"x" * 600_000)

    async def test() -> None:
        async with running_ingress(*[respond_long] * 8, memory_mb=MEMORY_MB) as ingress:
            held = ingress.instance.memory
            writers: list[asyncio.StreamWriter] = []
            for number in range(0, 48, 8):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, ingress.address)
                _, writer = await asyncio.open_connection(sock=sock, limit=1)
                writers.append(writer)
                for part in range(8):
                    writer.write(
                        request("ledger-read", number + part, Request_Timeout=LONG_TIMEOUT)
                    )
            ended = EventKind.CLIENT_CONNECTION_CLOSED, "output_unread"
            await until(lambda: ingress.instance.recorder.counts[ended] > 0)
            assert held.held_bytes <= held.limits.total + 1 * MB
            for writer in writers:
                writer.transport.abort()
            await until(lambda: held.held_bytes == 0)
            assert ingress.instance.recorder.violation_count == 0

    run(test())


@pytest.mark.parametrize("end", ["served", "disconnected", "timed out"])
def test_a_request_is_freed_as_soon_as_it_has_ended(end: str) -> None:
    # Guards against bodies that stay in memory until the garbage collector runs.
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            timeout = "0.200" if end == "timed out" else LONG_TIMEOUT
            client.write(request("vat-filing", 1, Request_Timeout=timeout))
            await ingress.wait_for_requests(1)
            gc.collect()
            gc.disable()
            try:
                await end_request(ingress, client, end)
                await until(lambda: not ingress.instance._pending)
                await until(lambda: not live_requests())
            finally:
                gc.enable()

    run(test())


async def end_request(ingress: RunningIngress, client: Client, end: str) -> None:
    if end == "served":
        ingress.backends[0].writers[0].write(OK_RESPONSE)
    if end == "disconnected":
        client.disconnect("closed")
    else:
        await client.read_response()


def live_requests() -> list[object]:
    return [held for held in gc.get_objects() if type(held) in (ProxiedRequest, Request)]
