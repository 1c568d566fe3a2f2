"""An ingress on loopback sockets, between scripted peers."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import struct
import sys
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import uvloop

from sumacpost.config import read_config
from sumacpost.service import Service, serve
from tests.support.paths import ROOT

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "index": 0,
    "locality": 0,
    "quantum": 2.0,
    "zones": ["hall-a", "hall-b"],
    "machine_types": ["std-2c"],
    "categories": [
        {
            "name": "ledger-read",
            "aim": 1500.0,
            "hard_limit": 4000.0,
            "points": 2.0,
            "idempotency": "pure",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.2,
            "streaming": False,
        },
        {
            "name": "payment-book",
            "aim": 1000.0,
            "hard_limit": 4000.0,
            "points": 5.0,
            "idempotency": "token",
            "group": "all",
            "dedup_window": 3000.0,
            "late_worth": 0.0,
            "streaming": False,
        },
        {
            "name": "vat-filing",
            "aim": 750.0,
            "hard_limit": 1500.0,
            "points": 5.0,
            "idempotency": "side_effect",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.0,
            "streaming": False,
        },
    ],
    "plans": [
        {
            "name": "basis",
            "per_second": 1.0,
            "peak_units": 8.0,
            "price": 0.72,
            "over_worth": 0.0,
            "excess_cost": 0.5,
        },
        {
            "name": "plus",
            "per_second": 100.0,
            "peak_units": 1000.0,
            "price": 1.6,
            "over_worth": 0.0,
            "excess_cost": 0.6,
        },
    ],
    "permissions": {
        "most_tries": 3,
        "dial_timeout": 250.0,
        "conn_idle": 30000.0,
        "retry_after": True,
        "cancel": True,
        "max_retry_after": 500.0,
        "parallel_tries": True,
        "probes": False,
    },
    "safety": {
        "start_capacity": 0.2,
        "cold": 15000.0,
        "fall_multiple": 2.0,
        "overload_for": 3000.0,
        "stop_sending_within": 500.0,
        "grace_to_answer": 8.0,
    },
    "extra": {"has_counter": False, "count_wait": 50.0, "units_top": 8, "cost_after": True},
    "clients": {"marks_retry": True},
    "telemetry": {"via": "off", "fields": []},
    "tiers": ["ledger-fleet"],
}

Script = Callable[["Peer", bytes, asyncio.StreamWriter], Awaitable[None]]


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on the loop that the ingress uses; a test that hangs fails."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, 30))


def answer(body: bytes = b"done", status: int = 200, head: bytes = b"") -> Script:
    """A script that answers every request alike."""

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), head, body)
        )

    return script


def sends(data: bytes, close: bool = True) -> Script:
    """A script that writes just these bytes."""

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return script


async def silence(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
    """A script that never answers."""


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """One HTTP message whose length its head says."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head, re.I)
    return head + (await reader.readexactly(int(length[1])) if length else b"")


class Peer:
    """A server that does with each request what its script says, and keeps what it was sent."""

    def __init__(
        self,
        script: Script,
        read: Callable[[asyncio.StreamReader], Awaitable[bytes]] = read_message,
    ) -> None:
        self.script, self.read = script, read
        self.requests: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                request = await self.read(reader)
                self.requests.append(request)
                await self.script(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
            writer.close()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """No new connections, and those that are open are reset."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def refuse(self) -> None:
        """Reset what is open and refuse new connections until listen_again; the port stays this peer's."""
        self.stop()
        await self.server.wait_closed()
        self._kept = keep_port(self.port)

    async def listen_again(self) -> None:
        await self.start(self.port)
        self._kept.close()


def keep_port(port: int = 0) -> socket.socket:
    """A port that no other program gets, and where connections are refused until somebody listens there too."""
    kept = socket.socket()
    kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    kept.bind(("127.0.0.1", port))
    return kept


class Client:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        """Status, head and body of the answer."""
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        head, _, body = (await read_message(self.reader)).partition(b"\r\n\r\n")
        return int(head.split()[1]), head, body


class HeldClient:
    """A client on a blocking socket: what it does is known to the kernel at once, while the loop is held too."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def leave(self, how: str) -> None:
        """Close, reset or end the sending; a client that stays does nothing."""
        if how == "half closed":
            self.sock.shutdown(socket.SHUT_WR)
        elif how in ("closed", "reset"):
            if how == "reset":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


def write_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Hand a peer's bytes to the kernel at once; the loop would do it in its next turn."""
    assert os.write(writer.transport.get_extra_info("socket").fileno(), data) == len(data)


def end_now(writer: asyncio.StreamWriter) -> None:
    """End a peer's connection at once, both ways."""
    with socket.socket(fileno=os.dup(writer.transport.get_extra_info("socket").fileno())) as sock:
        sock.shutdown(socket.SHUT_RDWR)


def request(cls: str = "vat-filing", number: int = 1, **changes: str | None) -> bytes:
    """A client's request; changes name headers with _ for -, None leaves one out."""
    method = "GET" if cls == "ledger-read" else "POST"
    headers: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": f"{number:016x}",
        "Plan": "plus",
        "Account": "0000000000000009",
        "Request-Timeout": "1.500",
        "Quota-Info": "units=2,spread=2,first=0",
    }
    if cls == "payment-book":
        headers["Idempotency-Key"] = "ab" * 16
    body = changes.pop("body", "" if method == "GET" else "receipt") or ""
    if method == "POST":
        headers["Content-Length"] = str(len(body))
    headers |= {
        name.replace("_", "-"): value
        for name, value in changes.items()
        if name not in ("method", "path")
    }
    lines = [
        f"{changes.get('method') or method} {changes.get('path') or '/' + cls + '/7?year=3'} HTTP/1.1"
    ]
    lines += [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def target(peer: Peer, uid: str, state: str = "active", **changes: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": peer.address,
        "az": "hall-a",
        "model": "std-2c",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
        **changes,
    }


class World:
    """A running ingress; what it is connected to can be stopped and changed."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.stop = asyncio.Event()

    async def client(self) -> Client:
        reader, writer = await asyncio.open_connection(*self.address)
        self._stack.callback(writer.close)
        return Client(reader, writer)

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        return await (await self.client()).ask(data)


@asynccontextmanager
async def world(
    *scripts: Script,
    counter: Script | None = None,
    read_counter: Any = None,
    sockets: int = 1024,
    discovery: Script = silence,
    settings: dict[str, Any] | None = None,
) -> Any:
    """An ingress with a backend for each script, known to it from the start."""
    async with AsyncExitStack() as stack:
        w = World(stack)
        w.backends = [Peer(script) for script in scripts]
        w.discovery = Peer(discovery)
        for peer in [*w.backends, w.discovery]:
            await peer.start()
            stack.callback(peer.stop)
        used = json.loads(json.dumps(SETTINGS)) | (settings or {})
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": w.discovery.address,
            "seed": "07",
            "limits": {"sockets": sockets},
            "settings": used,
            "known": {
                "rev": 5,
                "all": True,
                "targets": [target(b, f"s-{n}") for n, b in enumerate(w.backends)],
            },
        }
        if counter is not None:
            w.counter = Peer(counter, read_counter)
            await w.counter.start()
            stack.callback(w.counter.stop)
            config["counter"] = w.counter.address
            used["extra"]["has_counter"] = True
        serving: asyncio.Future[Service] = asyncio.get_running_loop().create_future()
        w.task = asyncio.create_task(
            serve(read_config(json.dumps(config)), w.stop, serving.set_result)
        )
        await asyncio.wait({w.task, serving}, return_when=asyncio.FIRST_COMPLETED)
        w.service, w.config = await serving, config
        w.address = w.service.address
        stack.callback(w.task.cancel)
        yield w


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the test's own limit ends a wait in vain."""
    while not condition():
        await asyncio.sleep(0.005)


# ---- discovery's agent


def say(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write to whoever may have left: uvloop raises where asyncio's own loop only warns."""
    if not writer.is_closing():
        writer.write(data)


class Agent:
    """A script for discovery that follows the protocol page: a call that may wait is held until there is news.

    While there is a trouble, that script meets every call, and first of all those that are held.
    """

    def __init__(self, leaves_out: bool = False) -> None:
        self.leaves_out = leaves_out  # answers are whole lists, and these leave out what drains
        self.version = 5
        self.entries: dict[
            str, tuple[int, dict[str, Any]]
        ] = {}  # by uid: since which version, and the target
        self.trouble: Script | None = None
        self.held: list[asyncio.Future[None]] = []

    def list(self, *targets: dict[str, Any]) -> None:
        """What holds from the first version on; no call is answered before."""
        self.entries = {t["uid"]: (self.version, t) for t in targets}

    def change(self, *targets: dict[str, Any]) -> None:
        self.version += 1
        self.entries |= {t["uid"]: (self.version, t) for t in targets}
        self._wake()

    def suffer(self, trouble: Script) -> None:
        self.trouble = trouble
        self._wake()

    def _wake(self) -> None:
        held, self.held = self.held, []
        for call in held:
            if not call.done():
                call.set_result(None)

    @staticmethod
    def query(data: bytes) -> tuple[int | None, float]:
        """The version that a call knows, and the seconds that it may wait."""
        asked = parse_qs(urlsplit(data.split()[1].decode()).query)
        return int(asked["from"][0]) if "from" in asked else None, int(
            asked.get("hold_ms", ["0"])[0]
        ) / 1000

    def response(self, known: int | None) -> bytes:
        whole = known is None or self.leaves_out
        told = [
            t
            for since, t in self.entries.values()
            if (not self.leaves_out or t["state"] == "active") and (whole or since > (known or 0))
        ]
        body = json.dumps({"rev": self.version, "all": whole, "targets": told}, indent=1).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def __call__(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        known, hold_s = self.query(data)
        await until(lambda: bool(self.entries))
        if self.trouble is None and known is not None and known >= self.version:
            call: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.held.append(call)
            await asyncio.wait([call], timeout=hold_s)
            if call in self.held:
                self.held.remove(call)
        if self.trouble is not None:
            await self.trouble(peer, data, writer)
        else:
            say(writer, self.response(known))

    # troubles

    async def cut(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Half of an answer, and the connection ends."""
        say(writer, self.response(None)[:-20])
        writer.close()

    async def stall(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Half of an answer, on a connection that stays open."""
        say(writer, self.response(None)[:-20])

    async def drip(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """An answer of which a little more comes again and again, and never the end, until the caller has left."""
        say(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
        for _ in range(1000):
            if writer.is_closing():
                break
            say(writer, b" ")
            await asyncio.sleep(0.05)

    async def late(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Every answer is whole, and comes when its call has been given up."""
        await asyncio.sleep(self.query(data)[1] + 0.8)
        say(writer, self.response(self.query(data)[0]))

    async def overrun(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """What there is to tell is told at once; a call that has to wait is never answered."""
        known = self.query(data)[0]
        if known is None or known < self.version:
            say(writer, self.response(known))

    def knows(self, peer: Peer) -> bool:
        """Whoever calls peer has taken in the last version."""
        return any(self.query(data)[0] == self.version for data in peer.requests)


# ---- the ingress as a program of its own

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


async def start_program(
    config: dict[str, Any], log: Path, descriptors: int | None = None
) -> asyncio.subprocess.Process:
    """python -m sumacpost with this configuration, which may hold no more than so many descriptors."""
    path = log.with_suffix(".json")
    path.write_text(json.dumps(config))
    bound = "" if descriptors is None else f"ulimit -n {descriptors} && "
    with log.open("ab") as errors:
        return await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            bound + 'exec "$0" -m sumacpost',
            sys.executable,
            stderr=errors,
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(path)},
        )


async def end_program(process: asyncio.subprocess.Process) -> None:
    """Kill it if it is still there."""
    if process.returncode is None:
        process.kill()
        await process.wait()


async def ask_once(port: int, data: bytes, seconds: float = 2.0) -> tuple[int, bytes]:
    """Status and body of the answer on a new connection; 0 if none comes."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                status, _, body = await Client(reader, writer).ask(data)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    return status, body
