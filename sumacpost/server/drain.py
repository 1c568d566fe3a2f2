"""Graceful shutdown of the client side: accept late connections, answer requests, close in time."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import islice

from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.policy.shutdown import ShutdownSchedule
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection import ClientConnection
from sumacpost.server.connection_registry import MAX_ENDED_PER_CALL, ConnectionRegistry
from sumacpost.server.listener import LISTEN_BACKLOG, Listener

DRAIN_POLL_INTERVAL_S = 0.02  # between two checks of the connections


@dataclass
class Drain:
    """One graceful shutdown in progress.

    Attributes:
        listener: the listening socket; accepts connections during the first phase.
        registry: all client connections.
        schedule: the times of the steps.
        started_at: when the drain started, on SIGTERM or SIGINT, in monotonic seconds.
        recorder: records the start of each phase.
    """

    listener: Listener
    registry: ConnectionRegistry[ClientConnection]
    schedule: ShutdownSchedule
    started_at: float
    recorder: EventRecorder

    async def run(self) -> None:
        """Run the drain; return when all connections have ended or the process has to exit."""
        self._record_phase("accepting")
        while self.registry.close_idle(self.started_at, CloseReason.DRAIN_IDLE):
            await asyncio.sleep(0)
        await self._accept_until_quiet()
        self.listener.close()
        self._record_phase("listener_closed")
        await self._serve_until_closed()
        await self._finish_all()
        self._record_phase("closing")
        await self._wait_until_closed()
        self._record_phase("connections_ended")

    async def _accept_until_quiet(self) -> None:
        """Keep accepting until no more connections are expected and the kernel's queue is empty.

        No more connections are expected if min_accept_ms have passed and none has been accepted for
        quiet_ms. Stop after max_accept_ms if connections keep arriving, but not before the queue is
        empty. If the queue can't be emptied, for example because of the connection limit, return
        when all responses are due.
        """
        schedule = self.schedule
        while True:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            quiet_ms = (time.monotonic() - self.listener.last_accept_at) * 1000
            quiet = quiet_ms > schedule.quiet_ms
            accept_ms = schedule.min_accept_ms if quiet else schedule.max_accept_ms
            elapsed_ms = self._elapsed_ms()
            if elapsed_ms <= accept_ms:
                continue
            if self.listener.accept(LISTEN_BACKLOG) or elapsed_ms > schedule.respond_within_ms:
                return

    async def _serve_until_closed(self) -> None:
        """Serve the open connections until all have ended or no more requests may be read."""
        schedule = self.schedule
        while not self.registry.is_empty and self._elapsed_ms() < schedule.respond_within_ms:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            while self._close_expired():
                await asyncio.sleep(0)
            self.registry.close_disconnected()

    def _close_expired(self) -> bool:
        """End the connections whose time limit has passed; return whether there may be more."""
        schedule = self.schedule
        now = time.monotonic()
        return any(
            (
                self.registry.close_waiting(
                    now - schedule.request_timeout_ms / 1000, CloseReason.DRAIN_NO_REQUEST
                ),
                self.registry.close_idle(now - schedule.quiet_ms / 1000, CloseReason.DRAIN_IDLE),
                self.registry.enforce_timeouts(),
            )
        )

    async def _wait_until_closed(self) -> None:
        """Wait for connections whose clients are still reading their last response."""
        while not self.registry.is_empty and self._elapsed_ms() < self.schedule.exit_within_ms:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            await self._finish_all()  # repeated for those that have opened since the last call
            while self.registry.enforce_timeouts():
                await asyncio.sleep(0)
            self.registry.close_disconnected()

    async def _finish_all(self) -> None:
        """Stop reading requests on all connections, some of them in an iteration of the loop."""
        connections = iter(list(self.registry.open))
        while batch := list(islice(connections, MAX_ENDED_PER_CALL)):
            self.registry.finish(batch, CloseReason.DRAIN_DEADLINE)
            await asyncio.sleep(0)

    def _elapsed_ms(self) -> float:
        return (time.monotonic() - self.started_at) * 1000

    def _record_phase(self, phase: str) -> None:
        registry = self.registry
        self.recorder.record(
            EventKind.DRAIN_PHASE,
            phase,
            "connections",
            "elapsed_ms=%.0f open=%d waiting=%d idle=%d closing=%d",
            self._elapsed_ms(),
            len(registry.open),
            len(registry.waiting),
            len(registry.idle),
            len(registry.closing),
        )
