"""The connections to one backend, and the attempts that wait for a connection."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from sumacpost.address import Address
from sumacpost.clock import TIMER_SLACK_S
from sumacpost.diagnostics.event_recorder import EventRecorder
from sumacpost.http1 import Response
from sumacpost.memory_budget import MemoryBudget
from sumacpost.model import Outcome
from sumacpost.turn_scheduler import TurnScheduler
from sumacpost.upstream.attempt import Attempt, AttemptEndedCallback, AttemptState
from sumacpost.upstream.connection import BackendConnection, CloseReason
from sumacpost.upstream.reuse_limit import ReuseLimit

# Shortest time from a response to the next request on its connection. A backend may send a second
# response some milliseconds after the first, which would be taken for the response to the next
# request.
REUSE_DELAY_S = 0.01


class PoolOwner(Protocol):
    """The settings, limits and callbacks that the pools of all backends share."""

    max_body_bytes: int
    connect_timeout_s: float
    reuse_limit: ReuseLimit
    recorder: EventRecorder
    memory: MemoryBudget
    turns: TurnScheduler
    on_attempt_ended: AttemptEndedCallback
    may_write: Callable[[Attempt], bool]

    def reserve_connection(self) -> bool:
        """Count a new connection; return False if the connection limit does not allow one."""

    def release_connection(self) -> None:
        """Stop counting a connection that is closed."""


class ConnectionPool:
    """The connections to one incarnation of a backend, at one address."""

    def __init__(self, address: Address, owner: PoolOwner, up_since_ms: float) -> None:
        self.address = address
        self.up_since_ms = up_since_ms
        self.max_body_bytes = owner.max_body_bytes
        self.reuse_limit = owner.reuse_limit
        self.recorder = owner.recorder
        self.memory = owner.memory
        self.turns = owner.turns
        self.idle: deque[BackendConnection] = deque()  # least recently used first
        self.waiting: deque[Attempt] = deque()  # in order of arrival
        self._owner = owner
        self._retired = False

    def start(self, attempt: Attempt) -> None:
        """Write an attempt to the most recently used idle connection, or to a new one."""
        attempt.pool = self
        if attempt.retryable or self.reuse_limit.allows_non_retryable:
            connection = self._take_reusable()
            if connection is not None:
                connection.start(attempt)
                return
        attempt.state = AttemptState.WAITING
        self.waiting.append(attempt)
        loop = asyncio.get_running_loop()
        if self._owner.reserve_connection():
            attempt.connect_task = loop.create_task(self._connect(attempt))
            attempt.connect_task.add_done_callback(self._on_connect_done)
        else:
            loop.call_soon(self._on_connect_failed, attempt)

    def remove_waiting(self, attempt: Attempt) -> None:
        """Remove an attempt that has not been written, and stop connecting for it."""
        if attempt.state is AttemptState.WAITING:
            self.waiting.remove(attempt)
        if attempt.connect_task is not None:
            attempt.connect_task.cancel()

    def skip_waiting(self) -> None:
        """Skip all attempts that have not been written, since the backend accepts no new requests.

        A new connection might be established only after the grace period of a draining backend. The
        outcomes are reported in the next iteration of the event loop, after the whole update has
        been applied.
        """
        loop = asyncio.get_running_loop()
        while self.waiting:
            attempt = self.waiting.popleft()
            attempt.state = AttemptState.SKIPPED
            if attempt.connect_task is not None:
                attempt.connect_task.cancel()
            loop.call_soon(self.end_attempt, attempt, Outcome.SKIPPED, None)

    def add_idle(self, connection: BackendConnection) -> None:
        """Add a free connection, which serves the longest-waiting attempt after the reuse delay."""
        if self._retired:
            connection.close(CloseReason.RETIRED)
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        self.idle.append(connection)
        if self.waiting:
            loop.call_later(REUSE_DELAY_S + TIMER_SLACK_S, self._serve_waiting)

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Report the outcome of an attempt, unless it has already ended."""
        if attempt.mark_ended():
            self._owner.on_attempt_ended(attempt, outcome, response)

    def remove_connection(self, connection: BackendConnection) -> None:
        """Remove a connection that is being closed."""
        self._owner.release_connection()
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float) -> None:
        """Close the connections idle since before a time, in seconds of the event loop's clock."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].close(CloseReason.STALE)

    def retire(self) -> None:
        """Close the pool. Attempts in flight continue; each connection closes after its attempt."""
        self._retired = True
        self.skip_waiting()
        while self.idle:
            self.idle[0].close(CloseReason.RETIRED)

    def _take_reusable(self) -> BackendConnection | None:
        """Remove and return the most recently used connection that may be reused now, if any."""
        now = asyncio.get_running_loop().time()
        self.close_idle(now - self.reuse_limit.max_reuse_idle_s)
        for connection in list(reversed(self.idle)):
            if connection.idle_since > now - REUSE_DELAY_S:
                continue
            if connection.is_usable():
                self.idle.remove(connection)
                return connection
            connection.close(CloseReason.STALE)
        return None

    def _serve_waiting(self) -> None:
        """Write waiting attempts to the connections that may be reused now."""
        for attempt in list(self.waiting):
            if not self._owner.may_write(attempt):
                continue
            connection = self._take_reusable()
            if connection is None:
                return
            self.waiting.remove(attempt)
            connection.start(attempt)

    async def _connect(self, attempt: Attempt) -> None:
        """Connect for a waiting attempt, or for others if it no longer needs the connection."""
        try:
            connection = await self._open_connection(attempt)
        except (OSError, TimeoutError):
            attempt.connect_task = None
            self._owner.release_connection()
            self._on_connect_failed(attempt)
            return
        # The connection serves the attempt that it was opened for, not the one that has waited
        # longest. Otherwise the former would be left without a connection being established.
        if attempt.state is not AttemptState.WAITING or not self._owner.may_write(attempt):
            self.add_idle(connection)
        elif connection.is_usable():
            self.waiting.remove(attempt)
            connection.start(attempt)
        else:
            connection.close(CloseReason.STALE)
            self._on_connect_failed(attempt)

    async def _open_connection(self, attempt: Attempt) -> BackendConnection:
        """Open a connection within the timeout; raise OSError or TimeoutError on failure."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        connection = None
        try:
            await self._connect_with_timeout(sock)
            # cancelling the task from here on would release the connection twice
            attempt.connect_task = None
            _, connection = await loop.create_connection(
                lambda: BackendConnection(self, sock), sock=sock
            )
            return connection
        finally:
            if connection is None:
                sock.close()

    async def _connect_with_timeout(self, sock: socket.socket) -> None:
        """Connect a socket within the timeout; raise OSError or TimeoutError on failure."""
        try:
            async with asyncio.timeout(self._owner.connect_timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, self.address)
        except TimeoutError:
            # after a delay of the event loop the timeout may fire before the connection is detected
            if not _is_connected(sock):
                raise

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        """Release the connection of a cancelled task, which may not have run its first step."""
        if task.cancelled():
            self._owner.release_connection()

    def _on_connect_failed(self, attempt: Attempt) -> None:
        """End an attempt that got no usable connection, unless another one has served it."""
        if attempt.state is AttemptState.WAITING:
            self.waiting.remove(attempt)
            self.end_attempt(attempt, Outcome.CONNECT_FAILED, None)


def _is_connected(sock: socket.socket) -> bool:
    """Return whether a socket is connected, even if the event loop has not detected it yet."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
