"""The connections to one backend, and the attempts that wait for one."""

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
from sumacpost.model import Outcome
from sumacpost.upstream.attempt import Attempt, AttemptEndedCallback, AttemptState
from sumacpost.upstream.connection import BackendConnection, CloseReason
from sumacpost.upstream.reuse_limit import ReuseLimit

# From a response to the next request on its connection: a backend may send a second response behind
# the first, some milliseconds later.
REUSE_DELAY_S = 0.01


class PoolOwner(Protocol):
    """What the pools of all backends share."""

    max_body_bytes: int
    connect_timeout_s: float
    reuse_limit: ReuseLimit
    recorder: EventRecorder
    on_attempt_ended: AttemptEndedCallback
    may_write: Callable[[Attempt], bool]

    def reserve_connection(self) -> bool:
        """Count a new connection; return False if the bound does not allow one."""

    def release_connection(self) -> None:
        """Count a connection as closed."""


class ConnectionPool:
    """The connections to one backend at one address."""

    def __init__(self, endpoint: Address, owner: PoolOwner, up_since_ms: float) -> None:
        self.endpoint = endpoint
        self.up_since_ms = up_since_ms
        self.max_body_bytes = owner.max_body_bytes
        self.reuse_limit = owner.reuse_limit
        self.recorder = owner.recorder
        self.idle: deque[BackendConnection] = deque()  # the most recently used last
        self.waiting: deque[Attempt] = deque()  # the one that has waited longest first
        self._owner = owner
        self._retired = False

    def start(self, attempt: Attempt) -> None:
        """Write an attempt on the connection used last, or on a new one."""
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
        """Take an attempt out that has not been written; its new connection is not waited for."""
        if attempt.state is AttemptState.WAITING:
            self.waiting.remove(attempt)
        if attempt.connect_task is not None:
            attempt.connect_task.cancel()

    def skip_waiting(self) -> None:
        """End all attempts that have not been written: the backend takes no new requests.

        A new connection could come up only after the time that a draining backend gives. The
        outcomes are reported in the next turn of the loop, when the whole update has been applied.
        """
        loop = asyncio.get_running_loop()
        while self.waiting:
            attempt = self.waiting.popleft()
            attempt.state = AttemptState.SKIPPED
            if attempt.connect_task is not None:
                attempt.connect_task.cancel()
            loop.call_soon(self.end_attempt, attempt, Outcome.SKIPPED, None)

    def add_idle(self, connection: BackendConnection) -> None:
        """Keep a free connection; after the reuse delay the attempt waiting longest gets it."""
        if self._retired:
            connection.close(CloseReason.RETIRED)
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        self.idle.append(connection)
        if self.waiting:
            loop.call_later(REUSE_DELAY_S + TIMER_SLACK_S, self._serve_waiting)

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Report the outcome of an attempt, unless it has ended before."""
        if attempt.mark_ended():
            self._owner.on_attempt_ended(attempt, outcome, response)

    def remove_connection(self, connection: BackendConnection) -> None:
        """Drop a connection that is closing."""
        self._owner.release_connection()
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float) -> None:
        """Close the connections that have been idle since before a time of the loop's clock."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].close(CloseReason.STALE)

    def retire(self) -> None:
        """Close the pool: attempts in flight go on, and their connections close with them."""
        self._retired = True
        self.skip_waiting()
        while self.idle:
            self.idle[0].close(CloseReason.RETIRED)

    def _take_reusable(self) -> BackendConnection | None:
        """Take the connection used last out of those that may be reused now."""
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
        """Write the attempts that wait on the connections that may be reused now."""
        for attempt in list(self.waiting):
            if not self._owner.may_write(attempt):
                continue
            connection = self._take_reusable()
            if connection is None:
                return
            self.waiting.remove(attempt)
            connection.start(attempt)

    async def _connect(self, attempt: Attempt) -> None:
        """Connect for a waiting attempt; if that needs it no longer, others get the connection."""
        try:
            connection = await self._open_connection(attempt)
        except (OSError, TimeoutError):
            attempt.connect_task = None
            self._owner.release_connection()
            self._on_connect_failed(attempt)
            return
        # not for whichever attempt has waited longest: this one would be left with no connection
        # on its way
        if attempt.state is not AttemptState.WAITING or not self._owner.may_write(attempt):
            self.add_idle(connection)
        elif connection.is_usable():
            self.waiting.remove(attempt)
            connection.start(attempt)
        else:
            connection.close(CloseReason.STALE)
            self._on_connect_failed(attempt)

    async def _open_connection(self, attempt: Attempt) -> BackendConnection:
        """Connect within the timeout; raise OSError or TimeoutError if that fails."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        connection = None
        try:
            await self._connect_with_timeout(sock)
            # no longer to be cancelled: the connection would be released twice
            attempt.connect_task = None
            _, connection = await loop.create_connection(
                lambda: BackendConnection(self, sock), sock=sock
            )
            return connection
        finally:
            if connection is None:
                sock.close()

    async def _connect_with_timeout(self, sock: socket.socket) -> None:
        """Connect a socket; raise OSError or TimeoutError if that fails."""
        try:
            async with asyncio.timeout(self._owner.connect_timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, self.endpoint)
        except TimeoutError:
            # in a loop that was held up the timeout may come before the connection is seen
            if not _is_connected(sock):
                raise

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        """Release the connection of a task that was cancelled, perhaps before its first step."""
        if task.cancelled():
            self._owner.release_connection()

    def _on_connect_failed(self, attempt: Attempt) -> None:
        """End an attempt for which no connection came up, if no other has served it."""
        if attempt.state is AttemptState.WAITING:
            self.waiting.remove(attempt)
            self.end_attempt(attempt, Outcome.CONNECT_FAILED, None)


def _is_connected(sock: socket.socket) -> bool:
    """Return whether a connection has come up, which the event loop may not have seen yet."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
