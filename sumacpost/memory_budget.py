"""The memory that clients and backends make the ingress hold, and the enforcement of its limit.

Everything whose size a peer determines is counted here in bytes of memory, by whoever holds it: the
input of clients and backends that is not complete, responses that wait for others or are not read,
and accepted requests. What is bounded elsewhere is not counted: the record of events, the endpoint
list, customers, and the objects of a connection, whose number is limited.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import Protocol

from sumacpost.policy.memory_limits import (
    MemoryLimits,
    holder_to_release,
    must_release,
    permits_request,
)

# How many of the largest holders are compared. Holders are sorted by powers of two, so the one that
# is found holds at least half as much as any other.
MAX_COMPARED = 32
# How many holders are released in a callback of the event loop.
MAX_RELEASED = 32


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
        # The holders by the number of bits of their size.
        self._by_magnitude: list[OrderedDict[MemoryHolder, int]] = [OrderedDict()]

    def set_held(self, holder: MemoryHolder, size: int) -> None:
        """Set what a holder holds, in bytes; 0 forgets the holder."""
        held = self._held_by.pop(holder, 0)
        self.held_bytes += size - held
        magnitude = size.bit_length()
        if held and held.bit_length() != magnitude:
            del self._by_magnitude[held.bit_length()][holder]
        if size:
            self._held_by[holder] = size
            while len(self._by_magnitude) <= magnitude:
                self._by_magnitude.append(OrderedDict())
            self._by_magnitude[magnitude][holder] = size

    def enforce(self) -> None:
        """Release holders until the limit is kept, MAX_RELEASED at most.

        To be called at the end of a callback of the event loop, because a release may end attempts
        and requests. The cost does not grow with the number of holders.
        """
        if not must_release(self.limits, self.held_bytes):
            return
        released: set[MemoryHolder] = set()
        while len(released) < MAX_RELEASED:
            largest = self._largest_holders(released)
            holder = holder_to_release(self.limits, self.held_bytes, largest)
            if holder is None:
                return
            released.add(holder)
            holder.release_memory()

    def _largest_holders(self, released: set[MemoryHolder]) -> dict[MemoryHolder, int]:
        """Return some of the holders whose size has the most bits, without those released."""
        for holders in reversed(self._by_magnitude):
            others = (item for item in holders.items() if item[0] not in released)
            if found := dict(islice(others, MAX_COMPARED)):
                return found
        return {}

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
