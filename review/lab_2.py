"""Stand-ins on loopback for the cases 6 to 10: clients, backends, counter, discovery, platform.

They use the standard library alone. Everything runs in the case's process but the ingresses, which
are started by the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
RESET = struct.pack("ii", 1, 0)
READY_S = 30.0
OK = 200

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Json = dict[str, Any]


class CannotRunError(Exception):
    """The case can't run here; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the file `record.txt` of the case's folder."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.line(f"disruption: {'yes' if TROUBLE else 'no (TROUBLE=0)'}")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def line(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def result(self, text: str) -> None:
        """Write one line, and print it."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


# ---- platform


@dataclass
class Ingress:
    """One ingress at a fixed address, started by the deploy file's `run`."""

    index: int
    config: Json
    folder: Path
    record: Record
    port: int = 0
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        """Choose the address."""
        self.port = self.port or free_port()
        self.config |= {"name": f"n{self.index}", "listen": f"{LOOPBACK}:{self.port}"}

    def spawn(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        path = self.folder / f"n{self.index}.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        scratch = Path(tempfile.mkdtemp(dir=self.folder))
        environment = os.environ | {
            "RELAY_CONFIG": str(path),
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(scratch),
        }
        environment.pop("PYTHONPATH", None)
        with (self.folder / f"n{self.index}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.line(f"ingress n{self.index}: started, pid {self.process.pid}")

    async def wait_ready(self) -> None:
        """Wait until /healthz answers 200."""
        give_up_at = time.monotonic() + READY_S
        while time.monotonic() < give_up_at:
            if self.process is None or self.process.poll() is not None:
                break
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reply = await ask_once(self.port, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                if reply.status == OK:
                    self.record.line(f"ingress n{self.index}: ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"ingress n{self.index} is not ready: {self.log_tail()}")

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.line(f"ingress n{self.index}: {signum.name}")
            self.process.send_signal(signum)

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log_tail(self) -> str:
        """Return the end of the log."""
        path = self.folder / f"n{self.index}.log"
        return path.read_text(errors="replace")[-1500:] if path.exists() else ""


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


# ---- messages


@dataclass
class Message:
    """A request or a response, as read."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a Content-Length or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return Message(head[0], headers, await reader.readexactly(length) if length else b"")


async def ask_once(port: int, request: bytes, timeout_s: float = 1.0) -> Message:
    """Send one request on a connection of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.close()


# ---- clients


@dataclass
class Request:
    """One try of a client and what became of it. Times are monotonic seconds."""

    id: str
    path: str
    account: int
    plan: str
    units: float
    timeout_s: float
    spread: int
    first: int = 0
    key: str = ""
    method: str = "GET"
    body: bytes = b""
    sent_at: float = 0.0
    answered_at: float = 0.0
    status: int = 0  # 0: no answer
    answer: bytes = b""

    def encode(self) -> bytes:
        """Return the request as it goes over the wire."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: service.internal",
            f"Request-Id: {self.id}",
            f"Plan: {self.plan}",
            f"Account: {self.account:016x}",
            f"Request-Timeout: {self.timeout_s:.3f}",
            f"Quota-Info: units={self.units:g},spread={self.spread},first={self.first}",
        ]
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        if self.method != "GET":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Clients:
    """Clients of one ingress: one request at a time on a connection, connections are kept."""

    def __init__(self, port: int, record: Record, grace_s: float = 1.0) -> None:
        self.port = port
        self.done: list[Request] = []
        self._record = record
        self._grace_s = grace_s
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, request: Request) -> Request:
        """Send a request and wait for its answer, at most until its time and a grace are over."""
        request.sent_at = time.monotonic()
        with suppress(TimeoutError):
            async with asyncio.timeout(request.timeout_s + self._grace_s):
                await self._ask(request)
        self.done.append(request)
        self._record.line(
            f"client: {request.id} account {request.account:x} units {request.units:g}"
            f" to port {self.port}: {request.status or 'no answer'}"
            f" after {time.monotonic() - request.sent_at:.4f} s"
        )
        return request

    async def _ask(self, request: Request) -> None:
        while self._idle:
            reader, writer = self._idle.pop()
            if reader.at_eof() or writer.is_closing():
                writer.close()
                continue
            if await self._exchange(request, reader, writer):
                return
            break  # the close has crossed the request: once more, on a new connection
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            await self._exchange(request, reader, writer)

    async def _exchange(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            writer.write(request.encode())
            reply = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return False
        except asyncio.CancelledError:
            writer.close()
            raise
        request.status, request.answer = reply.status, reply.body
        request.answered_at = time.monotonic()
        if reply.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return True

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle:
            writer.close()


# ---- backends


@dataclass
class Attempt:
    """A request that a backend has received whole. Times are monotonic seconds."""

    backend: str
    id: str
    at: float
    message: Message
    said: str = ""


Respond = Callable[["Backend", Attempt, asyncio.StreamWriter], Awaitable[None]]


def ok_answer(body: bytes, headers: str = "") -> bytes:
    """Return a 200 answer."""
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


@dataclass
class Backend:
    """A backend: reads whole requests, one at a time on a connection, and lets `respond` answer."""

    uid: str
    respond: Respond
    record: Record
    zone: str = "zone-a"
    model: str = "small"
    size: float = 1.0
    boot_ms: int = 0
    state: str = "active"
    port: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen, on the port of the last time if there was one."""
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, reuse_address=True, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End like a process: connections are reset, new ones are refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def entry(self) -> Json:
        """Return the entry of the endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": self.size,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                attempt = Attempt(
                    self.uid, message.headers.get("request-id", ""), time.monotonic(), message
                )
                self.attempts.append(attempt)
                self.record.line(f"backend {self.uid}: got {attempt.id} whole")
                await self.respond(self, attempt, writer)
                if attempt.said:
                    self.record.line(f"backend {self.uid}: {attempt.id}: {attempt.said}")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def answer_after(delay_s: float) -> Respond:
    """Return a behaviour: a good answer after a time."""

    async def respond(backend: Backend, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        attempt.said = "200"
        writer.write(ok_answer(f"{attempt.id} by {backend.uid}".encode()))

    return respond


# ---- counter


class Counter:
    """The counter: ADDGET in turn. While `silent`, it reads and accepts nothing."""

    def __init__(self, record: Record) -> None:
        self.port = 0
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.calls: list[tuple[float, bytes, float]] = []  # time, name, amount
        self._record = record
        self._speaking = asyncio.Event()
        self._speaking.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self, silent: bool) -> None:
        """Fall silent, or speak again; a call that waits has its turn then."""
        self._record.line(f"counter: {'silent' if silent else 'answers again'}")
        if silent:
            self._speaking.clear()
        else:
            self._speaking.set()

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._speaking.wait()
                call = await self._read_call(reader)
                await self._speaking.wait()
                writer.write(self._execute(call))
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read_call(self, reader: asyncio.StreamReader) -> list[bytes]:
        count = int((await reader.readuntil(b"\r\n"))[1:])
        call = []
        for _ in range(count):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            call.append((await reader.readexactly(size + 2))[:-2])
        return call

    def _execute(self, call: list[bytes]) -> bytes:
        match call:
            case [b"PING"]:
                return b"+PONG\r\n"
            case [b"ADDGET", name, amount, ttl]:
                now = time.monotonic()
                total, expires_at = self.totals.get(name, (0.0, 0.0))
                if expires_at <= now:
                    total, expires_at = 0.0, now + min(float(ttl), 60_000.0) / 1000
                total += float(amount)
                self.totals[name] = (total, expires_at)
                self.calls.append((now, name, float(amount)))
                self._record.line(f"counter: {name.decode()} {float(amount):+g} -> {total:.7g}")
                text = b"%.7g" % total
                return b"$%d\r\n%b\r\n" % (len(text), text)
            case [b"CLIENT" | b"SELECT", *_]:
                return b"+OK\r\n"
        return b"-ERR no such call\r\n"


# ---- discovery


class Discovery:
    """The agent: the list, and its changes to those that watch."""

    def __init__(self, backends: list[Backend], record: Record) -> None:
        self.port = 0
        self.version = 1
        self.changed_at: dict[str, int] = {}  # uid: version
        self._backends = backends
        self._record = record
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, reuse_address=True, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    def change(self, *backends: Backend) -> None:
        """Tell that the entries of these backends have changed."""
        self.version += 1
        for backend in backends:
            self.changed_at[backend.uid] = self.version
            self._record.line(
                f"discovery: version {self.version}: {backend.uid} {backend.state}"
                f" boot_ms {backend.boot_ms}"
            )
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self) -> Json:
        """Return the whole list."""
        entries = [b.entry() for b in self._backends if b.state != "left"]
        return {"rev": self.version, "all": True, "targets": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                target = message.start.split(" ")[1]
                body = json.dumps(await self._answer(target)).encode()
                writer.write(ok_answer(body, "Content-Type: application/json\r\n"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            writer.close()

    async def _answer(self, target: str) -> Json:
        query = dict(p.split("=") for p in target.partition("?")[2].split("&") if "=" in p)
        if "from" not in query:
            return self.known()
        since = int(query["from"])
        until = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while self.version <= since and (left := until - time.monotonic()) > 0:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        changed = [b.entry() for b in self._backends if self.changed_at.get(b.uid, 0) > since]
        return {"rev": max(self.version, since), "all": False, "targets": changed}


# ---- settings


def settings(index: int, balancers: int, **parts: Json | list[Json]) -> Json:
    """Return the settings of a small deployment; parts replace or extend those of the same name."""
    base: Json = {
        "balancers": balancers,
        "index": index,
        "locality": 0,
        "quantum": 2.0,
        "discovery": "push",
        "family": "gate",
        "zones": ["zone-a", "zone-b"],
        "machine_types": ["small", "large"],
        "categories": [
            {
                "name": "search",
                "aim": 1000.0,
                "hard_limit": 4000.0,
                "points": 1.0,
                "idempotency": "pure",
                "group": "all",
                "dedup_window": 5000.0,
                "late_worth": 0.0,
            }
        ],
        "plans": [],
        "permissions": {
            "most_tries": 6,
            "dial_timeout": 250.0,
            "conn_idle": 30000.0,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "cancel": True,
            "probes": True,
            "parallel_tries": True,
        },
        "safety": {
            "start_capacity": 0.25,
            "cold": 18000.0,
            "fall_multiple": 2.5,
            "overload_for": 1000.0,
            "stop_sending_within": 1000.0,
            "grace_to_answer": 8.0,
        },
        "extra": {"has_counter": False, "count_wait": 50.0, "units_top": 8, "cost_after": False},
        "clients": {"marks_retry": True},
        "telemetry": {"via": "off", "fields": []},
        "weights": "off",
    }
    for name, part in parts.items():
        base[name] = base[name] | part if isinstance(part, dict) else part
    return base


async def start_backends(
    record: Record, respond: Respond, count: int = 10
) -> tuple[list[Backend], Discovery]:
    """Start backends in two zones, and the agent that lists them."""
    backends = [Backend(f"b{n}", respond, record, zone="zone-" + "ab"[n % 2]) for n in range(count)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(backends, record)
    await discovery.start()
    return backends, discovery


def config(
    discovery: Discovery, settings_: Json, limits: Json, counter: Counter | None = None
) -> Json:
    """Return the configuration of an ingress, without its address."""
    document: Json = {
        "discovery": f"{LOOPBACK}:{discovery.port}",
        "seed": f"{settings_['index'] + 1:x}",
        "limits": {"cores": 1.0} | limits,
        "known": discovery.known(),
        "settings": settings_,
    }
    if counter is not None:
        document["counter"] = f"{LOOPBACK}:{counter.port}"
    return document


# ---- running a case


Case = Callable[[Record, Path], Coroutine[Any, Any, int]]


def run_case(record_path: Path, case: Case, limit_s: float = 110.0) -> None:
    """Run a case in a temporary folder, write its record and exit with its result."""
    if not (ROOT / ".venv" / "bin" / "python").exists():
        print("the build of the deploy file has not run")
        sys.exit(CANNOT_RUN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(record_path)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    result = CANNOT_RUN

    async def bounded() -> int:
        # What breaks off at the end, as the ingresses are killed, is of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        try:
            async with asyncio.timeout(limit_s):
                return await case(record, scratch)
        finally:
            for child in _CHILDREN:
                child.end()

    try:
        result = asyncio.run(bounded())
    except (CannotRunError, TimeoutError) as error:
        record.result(f"can't run: {error!r}")
    finally:
        for child in _CHILDREN:
            child.end()
        record.line(f"exit code {result}")
        record.close()
        shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(result)


_CHILDREN: list[Ingress] = []


async def start_ingresses(
    record: Record, folder: Path, configs: list[Json], ports: list[int] | None = None
) -> list[Ingress]:
    """Start an ingress for each configuration, and wait until all are ready."""
    ingresses = [
        Ingress(i, config, folder, record, ports[i] if ports else 0)
        for i, config in enumerate(configs)
    ]
    _CHILDREN.extend(ingresses)
    for ingress in ingresses:
        ingress.spawn()
    await asyncio.gather(*(ingress.wait_ready() for ingress in ingresses))
    return ingresses


def store_lows(
    sends: list[tuple[float, float]], rate: float, burst: float, full_at: float
) -> tuple[float, float]:
    """Return the lowest level of a store that starts full, and when; sends: time and units."""
    level, at, lowest, lowest_at = burst, full_at, burst, full_at
    for sent_at, units in sorted(sends):
        level = min(burst, level + (sent_at - at) * rate) - units
        at = sent_at
        if level < lowest:
            lowest, lowest_at = level, sent_at
    return lowest, lowest_at
