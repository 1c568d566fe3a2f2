"""Graceful shutdown: accept what still comes, finish what was accepted, then end."""

from __future__ import annotations

import asyncio
import time

from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_registry import ConnectionRegistry
from sumacpost.server.listener import LISTEN_BACKLOG, Listener

# The listener accepts for at least this long: clients learn late that the service ends.
DRAIN_MIN_ACCEPT_S = 0.4
# No connection for this long means that clients have learnt it; an idle one is closed after it.
DRAIN_QUIET_S = 0.2
# The listener accepts no longer than this, though connections keep coming ...
DRAIN_MAX_ACCEPT_S = 1.0
# ... unless some can't be accepted yet, as all places are taken: they would be reset.
DRAIN_MAX_BACKLOG_S = 2.0
# For a request that is still coming when the listener is closed.
DRAIN_REQUEST_TIMEOUT_S = 1.0
# Between two looks at the connections.
DRAIN_POLL_S = 0.02


async def drain_connections(
    listener: Listener, registry: ConnectionRegistry, recorder: EventRecorder
) -> None:
    """Close the listener once clients have stopped coming; return when all connections ended."""
    started_at = time.monotonic()
    _record_phase(recorder, "accepting", registry)
    registry.close_idle(started_at, CloseReason.DRAIN_IDLE)
    await _accept_until_quiet(listener, started_at)
    listener.close()
    _record_phase(recorder, "listener_closed", registry)
    await _finish_connections(registry)
    _record_phase(recorder, "connections_ended", registry)


def _record_phase(recorder: EventRecorder, phase: str, registry: ConnectionRegistry) -> None:
    recorder.record(
        EventKind.DRAIN_PHASE,
        phase,
        "connections",
        "open=%d waiting=%d idle=%d closing=%d",
        len(registry.open),
        len(registry.waiting),
        len(registry.idle),
        len(registry.closing),
    )


async def _accept_until_quiet(listener: Listener, started_at: float) -> None:
    while True:
        await asyncio.sleep(DRAIN_POLL_S)
        now = time.monotonic()
        quiet = now - listener.last_accept_at > DRAIN_QUIET_S
        accept_s = DRAIN_MIN_ACCEPT_S if quiet else DRAIN_MAX_ACCEPT_S
        if now - started_at <= accept_s:
            continue
        if listener.accept(LISTEN_BACKLOG) or now - started_at > DRAIN_MAX_BACKLOG_S:
            return


async def _finish_connections(registry: ConnectionRegistry) -> None:
    while not registry.is_empty:
        await asyncio.sleep(DRAIN_POLL_S)
        now = time.monotonic()
        registry.abort_waiting(now - DRAIN_REQUEST_TIMEOUT_S)
        registry.close_idle(now - DRAIN_QUIET_S, CloseReason.DRAIN_IDLE)
        registry.enforce_timeouts()
