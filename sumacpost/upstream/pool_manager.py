"""The connection pools of all backends, with a common limit on their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sumacpost.address import Address
from sumacpost.diagnostics.event_recorder import EventRecorder
from sumacpost.http_message import MAX_BODY_BYTES
from sumacpost.memory_budget import MemoryBudget
from sumacpost.model import (
    BackendId,
    EndpointListUpdate,
    EndpointStatus,
    Outcome,
    UpdateKind,
)
from sumacpost.policy.memory_limits import memory_limits
from sumacpost.turn_scheduler import TurnScheduler
from sumacpost.upstream.attempt import Attempt, AttemptEndedCallback, AttemptState
from sumacpost.upstream.connection import CloseReason
from sumacpost.upstream.pool import ConnectionPool
from sumacpost.upstream.reuse_limit import ReuseLimit

DEFAULT_MEMORY_MB = 64  # of a process, if there is no budget that is shared with others


def _allow_all(_: Attempt) -> bool:
    return True


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """The limits of the connections to backends.

    Attributes:
        max_connections: limit on the connections to all backends together, including those that are
            being established.
        connect_timeout_s: the time within which a connection has to be established, in seconds.
        backend_idle_timeout_s: the time after which backends close idle connections, in seconds.
        max_body_bytes: limit on the body of a response, in bytes.
    """

    max_connections: int
    connect_timeout_s: float
    backend_idle_timeout_s: float
    max_body_bytes: int = MAX_BODY_BYTES


class PoolManager:
    """The connection pools of all backends that the policy may choose.

    on_attempt_ended is called with each attempt, its outcome, and the response if there is one.
    may_write is called before a waiting attempt is written; if it returns False, it has ended the
    attempt or arranged for its end.
    """

    def __init__(
        self,
        limits: UpstreamLimits,
        on_attempt_ended: AttemptEndedCallback,
        may_write: Callable[[Attempt], bool] = _allow_all,
        recorder: EventRecorder | None = None,
        memory: MemoryBudget | None = None,
        turns: TurnScheduler | None = None,
    ) -> None:
        self.connect_timeout_s = limits.connect_timeout_s
        self.max_body_bytes = limits.max_body_bytes
        self.on_attempt_ended = on_attempt_ended
        self.may_write = may_write
        self.recorder = recorder or EventRecorder()
        self.memory = memory or MemoryBudget(
            memory_limits(DEFAULT_MEMORY_MB, limits.max_connections)
        )
        self.turns = turns or TurnScheduler()
        self.reuse_limit = ReuseLimit(limits.backend_idle_timeout_s)
        self.open_connections = 0  # including those that are being established
        self._max_connections = limits.max_connections
        self._pools: dict[BackendId, ConnectionPool] = {}

    def update_address(
        self, backend: BackendId, address: Address, up_since_ms: float = 0.0
    ) -> None:
        """Set the address of a backend; create a new pool if the backend has moved or restarted."""
        existing = self._pools.get(backend)
        if existing is not None:
            if existing.address == address and existing.up_since_ms >= up_since_ms:
                return
            existing.retire()
        self._pools[backend] = ConnectionPool(address, self, up_since_ms)

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Skip attempts waiting for draining backends, and retire the pools of removed backends.

        A backend that a full or cached list does not name is removed as well.
        """
        for entry in update.entries:
            if entry.state is EndpointStatus.DRAINING and entry.backend in self._pools:
                self._pools[entry.backend].skip_waiting()
        removed = [entry.backend for entry in update.entries if entry.state is EndpointStatus.GONE]
        if update.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            listed = {entry.backend for entry in update.entries}
            removed += [backend for backend in self._pools if backend not in listed]
        for backend in removed:
            pool = self._pools.pop(backend, None)
            if pool is not None:
                pool.retire()

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its outcome is reported later, never within this call."""
        self._pools[attempt.backend].start(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt without reporting an outcome, and close the connection that carries it."""
        if attempt.connection is not None:
            attempt.connection.cancel_attempt()
        elif attempt.pool is not None:
            attempt.pool.remove_waiting(attempt)
        attempt.mark_ended()

    def skip(self, attempt: Attempt) -> None:
        """Skip an attempt; its outcome is reported in the next iteration of the event loop."""
        if attempt.pool is not None:
            attempt.pool.remove_waiting(attempt)
        attempt.state = AttemptState.SKIPPED
        asyncio.get_running_loop().call_soon(self._report_skipped, attempt)

    def _report_skipped(self, attempt: Attempt) -> None:
        if attempt.mark_ended():
            self.on_attempt_ended(attempt, Outcome.SKIPPED, None)

    def reserve_connection(self) -> bool:
        """Count a new connection; return False if the connection limit does not allow one."""
        if self.open_connections >= self._max_connections and not self._evict_longest_idle():
            return False
        self.open_connections += 1
        return True

    def release_connection(self) -> None:
        """Stop counting a connection that is closed."""
        self.open_connections -= 1

    def close_stale_connections(self) -> None:
        """Close idle connections before the backends close them.

        A request that is written while a backend closes its connection would end as a reset.
        """
        before = asyncio.get_running_loop().time() - self.reuse_limit.max_idle_s
        for pool in self._pools.values():
            pool.close_idle(before)

    def close(self) -> None:
        """Retire all pools, which closes all idle connections."""
        for pool in self._pools.values():
            pool.retire()

    def _evict_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if there is no idle one."""
        oldest_idle = (pool.idle[0] for pool in self._pools.values() if pool.idle)
        candidate = min(oldest_idle, key=lambda idle: idle.idle_since, default=None)
        if candidate is None:
            return False
        candidate.close(CloseReason.EVICTED)
        return True
