"""A backend that records each attempt and whose behaviour may be changed by faults."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import cast

from fleetlab.soak.behaviour import LATE, UNBOUNDED, Behaviour, Chooser
from fleetlab.soak.http_text import head_with_length, parse_headers
from fleetlab.soak.machine import Machine
from fleetlab.soak.records import MEAN_SERVICE_TIME_S, Attempt, AttemptResult
from fleetlab.stand_in import (
    LOOPBACK,
    format_address,
    last_data_age_s,
    reserve_port,
    reset_connection,
    write_immediately,
)

BACKLOG_FILLERS = 4  # connections that fill the queue of a listener with a backlog of 0
MAX_SERVICE_TIME_S = 2 * MEAN_SERVICE_TIME_S  # longest service time of a behaviour that is not late
PIECE_PAUSE_S = 0.02  # pause between the two pieces of a response in pieces


@dataclass(slots=True)
class BackendState:
    """The properties of a backend that faults may change while it runs.

    Attributes:
        choose_behaviour: selects the behaviour for each attempt.
        accept_delay_s: the delay before a new connection is read from, in seconds.
        idle_timeout_s: the time after which an idle connection is closed or becomes stale.
        idle_becomes_stale: whether an idle connection becomes stale at the timeout, that is, stays
            open and is reset at its next request, instead of being closed.
    """

    choose_behaviour: Chooser
    accept_delay_s: float = 0.0
    idle_timeout_s: float = 30.0
    idle_becomes_stale: bool = False


@dataclass
class SoakBackend:
    """One backend on a loopback address.

    Attributes:
        uid: the uid in the endpoint list.
        state: the properties that faults may change.
        random: the generator of service times.
        attempts: the list, shared by the backends of a run, to which completely received attempts
            are appended.
        incarnation: the number of restarts.
        endpoint: the host and port that the backend listens on.
        connections: the open connections.
        unreachable: whether the backend is cut off: open connections are silent, and new ones are
            not established.
        machine: its cores; None if it serves any number of requests at once.
    """

    uid: str
    state: BackendState
    random: Random
    attempts: list[Attempt]
    incarnation: int = 0
    endpoint: str = ""
    connections: dict[_Connection, None] = field(default_factory=dict)
    unreachable: bool = False
    machine: Machine | None = None
    _server: asyncio.Server | None = None
    _backlog_sockets: list[socket.socket] = field(default_factory=list)
    # Keeps the port while the backend does not listen: without it, the system could assign the port
    # to a connection of another process.
    _reserved: socket.socket | None = None
    _address: tuple[str, int] = (LOOPBACK, 0)

    async def start(self) -> None:
        """Listen on a port assigned by the system, and on the same port at later starts."""
        if self._reserved is None:
            self._reserved = reserve_port()
        self._address = self._reserved.getsockname()
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), *self._address, reuse_address=True
        )
        self.endpoint = format_address(self._address)

    async def crash(self) -> None:
        """Refuse new connections and reset the open ones, as if the process had ended."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.reset()

    async def become_unreachable(self) -> None:
        """Stop all communication, like a machine that is cut off from the network.

        No packets are lost on loopback, but a listener whose queue is full drops new connections.
        """
        if self._server is not None:
            self._server.close()
            self._server = None
        self.unreachable = True
        for connection in self.connections:
            connection.stop_reading()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(0)
        self._backlog_sockets = [listener]
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self._address)
            self._backlog_sockets.append(filler)

    async def become_reachable(self) -> None:
        """Reset the connections from before the cut and accept new ones again."""
        self.unreachable = False
        for sock in self._backlog_sockets:
            sock.close()
        self._backlog_sockets = []
        for connection in list(self.connections):
            connection.reset()
        await self.start()

    async def stop(self) -> None:
        """Close all connections and sockets."""
        await self.crash()
        for sock in self._backlog_sockets:
            sock.close()
        if self._reserved is not None:
            self._reserved.close()

    async def restart(self) -> None:
        """Listen again as a new incarnation, without memory of earlier requests."""
        self.incarnation += 1
        if self.machine is not None:
            self.machine.start_cold()
        await self.start()


class _Connection(asyncio.Protocol):
    """One connection from an ingress; it carries one request at a time."""

    def __init__(self, backend: SoakBackend) -> None:
        self._backend = backend
        self._buffer = b""
        self._first_byte_at = 0.0
        self._attempt: Attempt | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._stale = False
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._backend.connections[self] = None
        delay_s = self._backend.state.accept_delay_s
        if delay_s:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(delay_s, self._resume)
        self._start_idle_timer()

    def _resume(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _start_idle_timer(self) -> None:
        """Restart the timeout after which an idle connection is closed or becomes stale."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = asyncio.get_running_loop().call_later(
            self._backend.state.idle_timeout_s, self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        if self._attempt is not None or self._buffer:
            return
        if self._backend.state.idle_becomes_stale:
            self._stale = True
        else:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._stale:
            self.reset()
            return
        if not self._buffer:
            self._first_byte_at = self._last_data_at()
        self._buffer += data
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator or self._attempt is not None:
            return
        headers = parse_headers(head)
        length = int(headers.get(b"content-length", b"0"))
        if len(rest) < length:
            return
        self._buffer = rest[length:]
        self._start_attempt(headers)

    def _last_data_at(self) -> float:
        """Return when the last bytes arrived; the event loop may have read them later."""
        return time.monotonic() - last_data_age_s(self._transport)

    def _start_attempt(self, headers: dict[bytes, bytes]) -> None:
        received_at = self._last_data_at()
        behaviour = self._backend.state.choose_behaviour()
        self._attempt = Attempt(
            headers.get(b"request-id", b"").decode(),
            self._backend.uid,
            self._backend.incarnation,
            headers.get(b"idempotency-key", b"").decode(),
            float(headers.get(b"request-timeout", b"0")),
            self._first_byte_at,
            received_at,
            unbounded=behaviour in UNBOUNDED,
        )
        self._backend.attempts.append(self._attempt)
        if behaviour is Behaviour.HANG:
            return
        delay_s = self._draw_delay_s(behaviour)
        if delay_s is None:
            self._respond(self._attempt, Behaviour.NOT_STARTED)
            return
        asyncio.get_running_loop().call_later(delay_s, self._respond, self._attempt, behaviour)

    def _draw_delay_s(self, behaviour: Behaviour) -> float | None:
        """Return the time until the response in seconds, or None if the machine is too busy."""
        random = self._backend.random
        if behaviour in LATE:
            return random.uniform(0.5, 1.5)
        if self._backend.machine is None:
            return random.uniform(0.0, MAX_SERVICE_TIME_S)
        return self._backend.machine.reserve()

    def _respond(self, attempt: Attempt, behaviour: Behaviour) -> None:
        if (
            attempt is not self._attempt
            or self._transport.is_closing()
            or self._backend.unreachable
        ):
            return
        body = b"%b from %b" % (attempt.request_id.encode(), attempt.backend.encode())
        match behaviour:
            case Behaviour.RESET | Behaviour.LATE_RESET:
                self._finish_attempt(attempt, AttemptResult.INVALID)
                self.reset()
            case Behaviour.NOISE:
                self._finish_attempt(attempt, AttemptResult.INVALID)
                self._transport.write(b"\x00\xffnoise that is no response\r\n\r\n")
            case Behaviour.ERROR:
                self._finish_attempt(attempt, AttemptResult.ERROR)
                self._transport.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.NOT_STARTED:
                self._finish_attempt(attempt, AttemptResult.NOT_STARTED)
                self._transport.write(
                    b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
                )
            case Behaviour.TRUNCATED:
                self._finish_attempt(attempt, AttemptResult.INVALID)
                length = len(body) + 10
                self._transport.write(
                    b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (length, body)
                )
                self._transport.close()
            case _:
                self._serve(attempt, behaviour, body)

    def _serve(self, attempt: Attempt, behaviour: Behaviour, body: bytes) -> None:
        """Write a valid response, or half of one without a length that is then reset."""
        attempt.body = body
        loop = asyncio.get_running_loop()
        half = len(body) // 2
        if behaviour in (Behaviour.SERVE, Behaviour.SLOW, Behaviour.SERVE_AND_CLOSE):
            closing = behaviour is Behaviour.SERVE_AND_CLOSE
            headers = b"Connection: close\r\n" if closing else b""
            if self._backend.machine is not None:
                headers += self._backend.machine.load_report()
            self._transport.write(head_with_length(body, headers) + body)
            self._finish_attempt(attempt, AttemptResult.SERVED)
            if closing:
                self._transport.close()
        elif behaviour is Behaviour.IN_PIECES:
            self._transport.write(head_with_length(body) + body[:half])
            loop.call_later(PIECE_PAUSE_S, self._write_last, attempt, body[half:], False)
        elif behaviour is Behaviour.UNBOUNDED:
            self._write_last(attempt, b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\n" + body, True)
        elif behaviour is Behaviour.UNBOUNDED_IN_PIECES:
            self._transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:half])
            loop.call_later(PIECE_PAUSE_S, self._write_last, attempt, body[half:], True)
        else:
            self._transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[:half])
            self._finish_attempt(attempt, AttemptResult.INVALID)
            loop.call_later(PIECE_PAUSE_S, self.reset)

    def _write_last(self, attempt: Attempt, data: bytes, close: bool) -> None:
        if (
            attempt is not self._attempt
            or self._transport.is_closing()
            or self._backend.unreachable
        ):
            return
        write_immediately(self._transport, data, half_close=close)
        self._finish_attempt(attempt, AttemptResult.SERVED)
        if close:
            self._transport.close()

    def _finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        attempt.result = result
        attempt.ended_at = time.monotonic()
        self._attempt = None
        self._start_idle_timer()

    def stop_reading(self) -> None:
        """Stop reading, and mark the attempt in progress as unobserved.

        `_respond` and `_write_last` write nothing while the backend is unreachable.
        """
        if self._attempt is not None:
            self._attempt.unobserved = True
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def reset(self) -> None:
        """Reset the connection."""
        reset_connection(self._transport)

    def connection_lost(self, _exc: Exception | None) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._backend.connections.pop(self, None)
        if self._attempt is not None:
            self._attempt.result = AttemptResult.DISCONNECTED
            self._attempt.ended_at = time.monotonic()
            self._attempt = None
