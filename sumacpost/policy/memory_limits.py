"""How much memory peers may make the ingress hold, and which of them has to give it up first.

The platform kills an ingress that exceeds its memory limit, and all requests that it has are lost.
What a client or a backend has sent in part, and what a client does not read, can be given up. An
accepted request can't, as it is owed a response; so accepted requests may hold only a part, and a
request that does not fit is rejected.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

MB = 1024 * 1024
PROCESS_BYTES = 32 * MB  # of the process without peers: interpreter, libraries, endpoint list
CONNECTION_BYTES = 5 * 1024  # of a connection between messages
# Fraction of the rest that peers may use. The other half allows for fragmentation, for copies while
# a message is passed on, and for events.
PEER_FRACTION = 0.5
MIN_PEER_BYTES = MB
CUSTOMER_FRACTION = 0.125  # of the same rest; for the state of customers
CUSTOMER_BYTES = 1024  # of one customer, with a short return queue
MIN_CUSTOMERS = 1024
REQUEST_FRACTION = 0.5  # of what peers may use; for accepted requests

Holder = TypeVar("Holder")


class ReleaseAction(Enum):
    """How a client connection gives up the memory that it holds."""

    REFUSE_INPUT = "refuse_input"  # each request that was read and not handled gets an error
    DROP_RESPONSES = "drop_responses"  # responses that wait for another are replaced by errors
    ABORT = "abort"  # the client reads nothing, so no error would reach it


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The limits on what peers make the ingress hold.

    Attributes:
        total: for all messages together, in bytes.
        requests: for accepted requests, in bytes.
        customers: the number of customers whose state is kept.
    """

    total: int
    requests: int
    customers: int = MIN_CUSTOMERS


def memory_limits(memory_mb: float, sockets: int) -> MemoryLimits:
    """Return the limits of an ingress that may use `memory_mb` MB and `sockets` descriptors."""
    free_bytes = memory_mb * MB - PROCESS_BYTES - sockets * CONNECTION_BYTES
    total = max(MIN_PEER_BYTES, int(free_bytes * PEER_FRACTION))
    customers = max(MIN_CUSTOMERS, int(free_bytes * CUSTOMER_FRACTION / CUSTOMER_BYTES))
    return MemoryLimits(total, int(total * REQUEST_FRACTION), customers)


def permits_request(limits: MemoryLimits, held_by_requests: int, request_bytes: int) -> bool:
    """Return whether another request may be accepted.

    held_by_requests: the memory of the requests accepted so far, in bytes.
    """
    return held_by_requests + request_bytes <= limits.requests


def must_release(limits: MemoryLimits, held_in_all: int) -> bool:
    """Return whether memory has to be given up.

    held_in_all: everything that counts, in bytes.
    """
    return held_in_all > limits.total


def holder_to_release(
    limits: MemoryLimits, held_in_all: int, held_by: Mapping[Holder, int]
) -> Holder | None:
    """Return the holder that has to give up its memory, or None if the limit is kept.

    It is the one that holds most: a peer that sends a usual message holds little, and not for long.

    held_in_all: everything that counts, in bytes. held_by: the largest holders that can give up
    what they hold, at least half as much as any other.
    """
    if not must_release(limits, held_in_all):
        return None
    return max(held_by, key=held_by.__getitem__, default=None)


def release_action(input_bytes: int, waiting_bytes: int, unread_bytes: int) -> ReleaseAction:
    """Return how a client connection that has to give up memory does so.

    Every request that was read must get a response, so the connection ends without one only if most
    of the memory holds responses that the client leaves unread.

    input_bytes: incomplete input, and input that waits to be parsed. waiting_bytes: responses that
    wait for one before them. unread_bytes: responses that the client has not read in time.
    """
    if unread_bytes > max(input_bytes, waiting_bytes):
        return ReleaseAction.ABORT
    if waiting_bytes > input_bytes:
        return ReleaseAction.DROP_RESPONSES
    return ReleaseAction.REFUSE_INPUT
