"""Stand-ins for the review's cases: discovery agent, counter, backends, clients and the platform.

They use the standard library alone and speak what PROTOCOL-sumacpost.md and DEPLOY-sumacpost.md
describe. All addresses are loopback addresses, and all ports are chosen by the system.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

REVIEW = Path(__file__).resolve().parent
ROOT = REVIEW.parent
LOOPBACK = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
HELD = 0
BROKEN = 1
CANNOT_RUN = 2

JsonObject = dict[str, Any]


class CaseError(Exception):
    """The case can't run; this says nothing about the rule."""


class Record:
    """The file record.txt of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, line: str) -> None:
        """Write one line, with the seconds since the start of the case."""
        self._file.write(f"{self.now():9.3f} {line}\n")

    def say(self, line: str) -> None:
        """Write one line to the record and to standard output."""
        self.write(line)
        self._file.flush()
        print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def troubled() -> bool:
    """Return whether the disruption is wanted: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def leith_settings(balancers: int = 2, index: int = 0) -> JsonObject:
    """Return settings in the ranges of leith-main, as in the example of WIRE-sumacpost.md."""

    def category(name: str, points: float, **more: object) -> JsonObject:
        return {"name": name, "points": points, "late_worth": 0.0, "streaming": False, **more}

    def plan(name: str, rate: float, burst: float, price: float, cost: float) -> JsonObject:
        return {
            "name": name,
            "per_second": rate,
            "peak_units": burst,
            "price": price,
            "excess_cost": cost,
            "over_worth": 0.0,
            "at_once": 0,
            "cap_rate": 0.0,
            "ceiling_burst": 0.0,
            "tolerance": 0.0,
        }

    safe = {"idempotency": "pure", "group": "all", "dedup_window": 5000.0}
    keyed = {"idempotency": "token", "group": "zone", "dedup_window": 2000.0}
    return {
        "balancers": balancers,
        "index": index,
        "locality": 0,
        "quantum": 2.0,
        "zones": ["room-a", "room-b"],
        "machine_types": ["std-2c"],
        "discovery": "push",
        "weights": "off",
        "categories": [
            category("search", 1.0, aim=1000.0, hard_limit=4000.0, **safe),
            category("notice-read", 1.0, aim=1000.0, hard_limit=2500.0, **safe),
            category("interest", 3.0, aim=750.0, hard_limit=2000.0, **keyed),
        ],
        "plans": [
            plan("starter", 1.7, 7.5, 0.8, 0.5),
            plan("team", 8.9, 35.0, 1.3, 1.0),
            plan("agency", 30.0, 60.0, 1.6, 0.6),
        ],
        "permissions": {
            "most_tries": 6,
            "dial_timeout": 250.0,
            "conn_idle": 30000.0,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "cancel": True,
            "probes": True,
            "parallel_tries": True,
            "may_tell": False,
        },
        "safety": {
            "start_capacity": 0.25,
            "cold": 18000.0,
            "fall_multiple": 2.5,
            "overload_for": 1000.0,
            "stop_sending_within": 1000.0,
            "grace_to_answer": 8.0,
            "must_ask_in": 10000.0,
        },
        "extra": {
            "has_counter": True,
            "count_wait": 30.0,
            "counter_price": 0.01,
            "units_top": 8,
            "cost_after": True,
            "meter": 0.0,
        },
        "clients": {"marks_retry": True},
        "telemetry": {"via": "inline", "fields": ["backlog", "throughput", "utilization"]},
    }


# ---- servers


class Server:
    """A server on a loopback port; subclasses serve one connection."""

    def __init__(self) -> None:
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._run, LOOPBACK, 0, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_no_delay(writer)
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the other side has gone, or the case ends
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


def set_no_delay(writer: asyncio.StreamWriter) -> None:
    """Let small writes go out at once."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of a process does."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass(slots=True)
class Attempt:
    """A request as a backend received it; times are seconds of the case."""

    request_id: str
    backend: str
    timeout_s: float
    received_at: float


class Backend(Server):
    """A backend that answers each request after its work, with a load report."""

    def __init__(self, uid: str, zone: str, record: Record, attempts: list[Attempt]) -> None:
        super().__init__()
        self.uid = uid
        self.zone = zone
        self.work_s = 0.09
        self._record = record
        self._attempts = attempts

    def entry(self, state: str = "active") -> JsonObject:
        """Return the entry of this backend in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": "std-2c",
            "pod_group": 1,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request after another."""
        while True:
            head = await reader.readuntil(HEAD_END)
            headers = parse_headers(head)
            await reader.readexactly(int(headers.get("content-length", "0")))
            request_id = headers.get("request-id", "")
            if not request_id:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            timeout_s = float(headers.get("request-timeout", "0"))
            attempt = Attempt(request_id, self.uid, timeout_s, self._record.now())
            self._attempts.append(attempt)
            self._record.write(f"backend {self.uid} received {request_id}")
            await asyncio.sleep(self.work_s)
            body = f"{request_id} by {self.uid}".encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nServer-Load: queue=0,qps=10,util=0.20\r\n"
                b"Billed-Units: 1\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )


class DiscoveryAgent(Server):
    """The agent of discovery: the whole list, and watches for its changes."""

    def __init__(self, record: Record, entries: Iterable[JsonObject]) -> None:
        super().__init__()
        self.version = 1
        self.delay_s = 0.0  # from the moment that a call is due until it is answered
        self._record = record
        self._entries = {entry["uid"]: entry for entry in entries}
        self._versions = dict.fromkeys(self._entries, 1)
        self._changed = asyncio.Event()

    def whole_list(self) -> JsonObject:
        """Return the whole list."""
        return self._encode(0)

    def set_state(self, uid: str, state: str) -> None:
        """Change the state of one entry, and tell it to all open watches."""
        self.version += 1
        self._entries[uid] = {**self._entries[uid], "state": state}
        self._versions[uid] = self.version
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _encode(self, since: int) -> JsonObject:
        full = since <= 0 or since > self.version
        targets = [
            entry
            for uid, entry in self._entries.items()
            if (self._versions[uid] > since) or (full and entry["state"] != "left")
        ]
        return {"rev": self.version, "all": full, "targets": targets}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call after another."""
        while True:
            head = await reader.readuntil(HEAD_END)
            target = head.split(b" ", 2)[1].decode()
            query = parse_qs(urlsplit(target).query)
            since = int(query["from"][0]) if "from" in query else 0
            hold_s = min(60.0, float(query.get("hold_ms", ["0"])[0]) / 1000)
            if since == self.version:
                with suppress(TimeoutError):
                    async with asyncio.timeout(hold_s):
                        await self._changed.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            answer = self._encode(since)
            body = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await writer.drain()
            states = [f"{entry['uid']}={entry['state']}" for entry in answer["targets"]]
            self._record.write(
                f"agent answered {target}: rev={self.version} all={answer['all']}"
                f" {' '.join(states)}"
            )


class Counter(Server):
    """The shared counter: ADDGET over RESP2; all calls are served in turn, as one part does."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.call_s = 0.0015  # what a call needs, beside the way there and back
        self.totals: dict[str, tuple[float, float]] = {}  # total, and when the name ends
        self._record = record
        self._turn = asyncio.Lock()
        self._free_at = 0.0  # when the calls before have been served

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call after another."""
        while True:
            words = await read_resp_call(reader)
            name, amount, ttl_ms = words[1], float(words[2]), float(words[3])
            async with self._turn:
                # Without the part of a millisecond by which each sleep is too long.
                self._free_at = max(self._free_at, time.monotonic()) + self.call_s
                await asyncio.sleep(self._free_at - time.monotonic())
            now = time.monotonic()
            total, ends_at = self.totals.get(name, (0.0, 0.0))
            if now >= ends_at:
                total, ends_at = 0.0, now + min(ttl_ms, 60_000) / 1000
            total += amount
            self.totals[name] = total, ends_at
            text = f"{total:.7g}".encode()
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
            self._record.write(f"counter {name} {amount:+.3f} total {total:.3f}")


async def read_resp_call(reader: asyncio.StreamReader) -> list[str]:
    """Read one call: an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2].decode())
    return words


def parse_headers(head: bytes) -> dict[str, str]:
    """Return the headers of a message by their names in lower case."""
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


# ---- clients


@dataclass(slots=True)
class Sent:
    """A request of a client; times are seconds of the case."""

    request_id: str
    timeout_s: float
    sent_at: float
    status: int = 0  # 0: no whole answer
    answered_at: float = 0.0
    body: bytes = b""
    end: str = ""  # how the wait for an answer ended

    @property
    def lost(self) -> bool:
        """Whether it has no final answer up to half a second after its time."""
        return not self.status or self.answered_at - self.sent_at > self.timeout_s + 0.5


@dataclass(slots=True)
class Ask:
    """What a client asks for; the defaults are one unit of a safe class."""

    request_id: str
    class_name: str = "search"
    plan: str = "agency"
    account: int = 9
    timeout_s: float = 2.0
    units: int = 1
    spread: int = 1
    first: int = 0
    key: str = ""
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        method = "POST" if self.key or self.body else "GET"
        lines = [
            f"{method} /{self.class_name}/7 HTTP/1.1",
            "Host: service.internal",
            f"Request-Id: {self.request_id}",
            f"Plan: {self.plan}",
            f"Account: {self.account:016x}",
            f"Request-Timeout: {self.timeout_s:.3f}",
            f"Quota-Info: units={self.units},spread={self.spread},first={self.first}",
        ]
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        if method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + HEAD_END + self.body


class Clients:
    """Clients that send one request at a time on a connection and keep their connections.

    If a connection that has been used before ends without a byte of an answer, the request is sent
    once more on a new one.
    """

    def __init__(self, address: str, record: Record) -> None:
        self._host, port = address.split(":")
        self._port = int(port)
        self._record = record
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.requests: list[Sent] = []

    async def send(self, ask: Ask) -> Sent:
        """Send a request and wait for its answer, until half a second after its time."""
        sent = Sent(ask.request_id, ask.timeout_s, self._record.now())
        self.requests.append(sent)
        self._record.write(f"client sent {ask.request_id}")
        try:
            async with asyncio.timeout(ask.timeout_s + 0.6):
                while not await self._exchange(ask, sent):
                    self._record.write(f"client sends {ask.request_id} once more")
        except TimeoutError:
            sent.end = "no answer"
        except (OSError, EOFError) as error:
            sent.end = f"connection ended: {error!r}"
        if sent.status:
            self._record.write(f"client got {sent.status} for {sent.request_id}")
        else:
            self._record.write(f"client got nothing for {sent.request_id}: {sent.end}")
        return sent

    async def _exchange(self, ask: Ask, sent: Sent) -> bool:
        """Send a request once; return False if it has to be sent on a new connection."""
        used_before = False
        while self._idle:
            reader, writer = self._idle.pop()
            if not (reader.at_eof() or writer.is_closing()):
                used_before = True
                break
            writer.close()
        else:
            reader, writer = await asyncio.open_connection(self._host, self._port)
            set_no_delay(writer)
        keep = False
        try:
            writer.write(ask.encode())
            try:
                head = await reader.readuntil(HEAD_END)
            except (OSError, asyncio.IncompleteReadError) as error:
                if used_before and not getattr(error, "partial", b""):
                    return False
                raise
            headers = parse_headers(head)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            sent.status, sent.body = int(head.split(b" ", 2)[1]), body
            sent.answered_at = self._record.now()
            keep = headers.get("connection", "").lower() != "close"
            return True
        finally:
            if keep:
                self._idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        """Close the connections that are kept."""
        for _, writer in self._idle:
            writer.close()


# ---- the platform


@dataclass
class Ingress:
    """One ingress, started with the command `run` of the deploy file, as the platform does."""

    name: str
    record: Record
    folder: Path
    config: JsonObject
    address: str = ""
    process: subprocess.Popen[bytes] | None = None
    log: Path = field(init=False)

    def __post_init__(self) -> None:
        self.log = self.folder / f"{self.name}.log"

    def write_config(self) -> None:
        """Write the configuration file, replacing an older one at once."""
        path = self.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(path)

    async def start(self) -> None:
        """Start the process, and wait until it answers GET /healthz with 200."""
        self.address = self.address or f"{LOOPBACK}:{free_port()}"
        self.config["listen"] = self.address
        self.write_config()
        private = self.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / f"{self.name}.json"),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.say(f"{self.name} started: pid={self.process.pid} address={self.address}")
        give_up_at = time.monotonic() + 30
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > give_up_at:
                raise CaseError(f"{self.name} was not ready: {self.log.read_text()[-500:]}")
            await asyncio.sleep(0.05)
        self.record.say(f"{self.name} is ready")

    async def is_ready(self) -> bool:
        """Return whether GET /healthz gives 200."""
        host, port = self.address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.record.say(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the memory that the process holds now, in MB of 2**20 bytes; 0 if it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def free_port() -> int:
    """Return a free loopback port."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def ingress_config(
    name: str, agent: DiscoveryAgent, counter: Counter | None, settings: JsonObject, **limits: float
) -> JsonObject:
    """Return the configuration of one ingress."""
    config: JsonObject = {
        "name": name,
        "discovery": agent.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024, **limits},
        "known": agent.whole_list(),
        "settings": settings,
    }
    if counter is not None:
        config["counter"] = counter.address
    return config


Case = Callable[[Record, Path], Awaitable[int]]


def run_case(folder: Path, case: Case, limit_s: float = 110.0) -> int:
    """Run a case within its time; return the exit status of its script."""
    # The end of the script ends the processes that it started, as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    record.say(f"trouble={'on' if troubled() else 'off'}")

    async def limited(temporary: Path) -> int:
        async with asyncio.timeout(limit_s):
            return await case(record, temporary)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(limited(Path(temporary)))
    except (CaseError, OSError, TimeoutError) as error:
        record.say(f"the case could not run: {error!r}")
        status = CANNOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "no result"}
    record.say(f"result: {verdict[status]}")
    record.close()
    return status
