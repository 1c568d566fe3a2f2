"""The events that a gateway handles. All times are in milliseconds.

A request is identified by its number. The attempts of a request are numbered from 0 in the order of
sending.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

BackendId = int
"""Identifies a backend; the same at every gateway and after every restart."""


class Outcome(IntEnum):
    """How an attempt, a health check or a counter call ended."""

    OK = 1  # successful response, healthy backend, or amount added
    ERROR = 2  # the backend responded with an error
    REJECTED = 3  # the backend or counter refused the attempt or call, and did not run it
    TIMEOUT = 4  # no response in time
    CONNECT_FAILED = 5  # no connection could be established in time
    RESET = 6  # the connection was lost, or the response was invalid
    CANCELLED = 7  # the gateway cancelled it
    SKIPPED = 8  # not sent: the request is concluded, or the attempt was no longer permitted

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the backend did not run the request."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SKIPPED)


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains."""

    CHANGES = 0  # only the changed entries
    FULL = 1  # the whole list, which replaces the previous one
    CACHED = 2  # the whole list as it was before a restart; may be out of date
    FAILED = 3  # nothing: the list was not available, and the previous one stays in use


class EndpointStatus(IntEnum):
    """The state of a backend in the endpoint list."""

    GONE = 0  # removed from the list; occurs only in CHANGES
    READY = 1
    DRAINING = 2  # finishing its requests; accepts no new ones


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        backend: the identifier of the backend.
        state: whether the backend accepts requests.
        zone: the number of its zone.
        kind: the number of its machine type.
        cell: the number of its cell, for DeduplicationScope.CELL.
        size: its capacity relative to other backends, without a unit.
        up_since_ms: when the backend last started, by the gateway's clock; 0: long ago.
    """

    backend: BackendId
    state: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0


@dataclass(slots=True)
class EndpointListUpdate:
    """An update of the endpoint list.

    Attributes:
        kind: whether the entries are changes or the whole list.
        entries: the entries; if the list is partitioned, those of this gateway's partition and
            a few of other partitions for retries by idempotency key (deduplication peers).
        version: the version of the list after the update; versions of one discovery agent only
            grow.
        partition_count: how many partitions the whole list is divided into.
    """

    kind: UpdateKind
    entries: list[Endpoint]
    version: int = 0
    partition_count: int = 1


@dataclass(slots=True)
class RequestArrived:
    """A client has sent a request; the gateway owes it one final response within time_left_ms.

    Attributes:
        request: the number of the request; a retry by the client has a new number.
        customer: the number of the customer whose quota the request uses.
        plan: the index of the customer's plan in the settings.
        request_class: the index of its class in the settings.
        units: the quota units that the request uses; an estimate if Settings.settled_after is set.
        first_gateway: the index of the first gateway that receives this customer's requests.
        gateway_spread: how many consecutive gateways receive them, starting with first_gateway; the
            last gateway is followed by gateway 0.
        time_left_ms: how long the client still waits.
        retry: whether the client has marked the request as a retry.
    """

    request: int
    customer: int
    plan: int
    request_class: int
    units: float
    first_gateway: int
    gateway_spread: int
    time_left_ms: float
    retry: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has started: the request is bound to this attempt, with no deadline.

    Attributes:
        request: the number of the request.
        attempt: the number of the attempt.
        backend: the backend that the attempt was sent to.
        elapsed_ms: time since the attempt was sent.
    """

    request: int
    attempt: int
    backend: BackendId
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of an attempt; reported exactly once.

    Attributes:
        request: the number of the request.
        attempt: the number of the attempt.
        backend: the backend that the attempt was sent to.
        outcome: how the attempt ended.
        elapsed_ms: time since the attempt was sent.
        concluded: whether the request has its final response, from this attempt or earlier.
        quota_used_percent: the customer's use of its plan's rate at all gateways, in a recent
            period of the meter; None if it is not reported.
        actual_units: the units that the request has used, which replace the estimate; 0: unknown.
        report: the values of the backend's load report, in the order of Settings.report_fields;
            may be empty.
    """

    request: int
    attempt: int
    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    concluded: bool
    quota_used_percent: float | None = None
    actual_units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class RequestCancelled:
    """The client has disconnected; no response is owed any more.

    Attributes:
        request: the number of the request.
    """

    request: int


@dataclass(slots=True)
class DeadlineReached:
    """A request has reached its deadline; none of its attempts is in flight any more.

    Attributes:
        request: the number of the request.
    """

    request: int


@dataclass(slots=True)
class DrainStarted:
    """The gateway is about to shut down, which limits the deadlines of pending and new requests.

    Attributes:
        respond_within_ms: the time within which every final response is due.
    """

    respond_within_ms: float


@dataclass(slots=True)
class TimerFired:
    """A timer is due.

    Attributes:
        label: the label that SetTimer set.
    """

    label: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of a health check.

    Attributes:
        backend: the backend that was checked.
        outcome: OK if the backend is healthy.
        elapsed_ms: how long the check took.
        report: the backend's load report, as in AttemptEnded.
    """

    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway.

    Attributes:
        sender: the index of the sending gateway.
        body: the message.
    """

    sender: int
    body: bytes


@dataclass(slots=True)
class CounterReplied:
    """The reply to a counter call; there is exactly one per call.

    Attributes:
        name: the name of the total that was added to.
        outcome: OK if the amount was added; if `outcome.never_ran` is true, it was not added.
        elapsed_ms: how long the call took.
        total: the new total, in quota units; valid only if the outcome is OK.
    """

    name: int
    outcome: Outcome
    elapsed_ms: float
    total: float


Event = (
    EndpointListUpdate
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | RequestCancelled
    | DeadlineReached
    | DrainStarted
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
    | CounterReplied
)
