"""The memory that clients and backends make the ingress hold, and the enforcement of its limit.

Everything whose size a peer determines is counted here in bytes of memory, by whoever holds it: the
input of clients and backends that is not complete, responses that wait for others or are not read,
and accepted requests. What is bounded elsewhere is not counted: the record of events, the endpoint
list, customers, and the objects of a connection, whose number is limited.
"""

from __future__ import annotations

from typing import Protocol

from sumacpost.policy.memory_limits import MemoryLimits, holder_to_release, permits_request


class MemoryHolder(Protocol):
    """A connection that holds memory for its peer."""

    def release_memory(self) -> None:
        """Give up what is held, at the cost of this peer; the whole fleet of peers needs it."""


class MemoryBudget:
    """Counts what is held, rejects requests and releases holders beyond the limits.

    Attributes:
        limits: the limits.
        held_bytes: everything that is held, in bytes.
        request_bytes: the part of it that accepted requests hold.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.request_bytes = 0
        self._held_by: dict[MemoryHolder, int] = {}

    def set_held(self, holder: MemoryHolder, size: int) -> None:
        """Set what a holder holds, in bytes; 0 forgets the holder."""
        self.held_bytes += size - self._held_by.get(holder, 0)
        if size:
            self._held_by[holder] = size
        else:
            self._held_by.pop(holder, None)

    def enforce(self) -> None:
        """Release holders until the limit is kept.

        To be called at the end of a callback of the event loop, because a release may end attempts
        and requests.
        """
        for _ in range(len(self._held_by)):
            holder = holder_to_release(self.limits, self.held_bytes, self._held_by)
            if holder is None:
                return
            holder.release_memory()

    def reserve_request(self, size: int) -> bool:
        """Count a request of this size in bytes; return False if it may not be accepted."""
        if not permits_request(self.limits, self.request_bytes, size):
            return False
        self.request_bytes += size
        self.held_bytes += size
        return True

    def release_request(self, size: int) -> None:
        """Stop counting a request that was counted with this size."""
        self.request_bytes -= size
        self.held_bytes -= size
