"""The events that a gateway handles. All times are in milliseconds.

A request is known by its number, an attempt of it by its index, from 0 in the order of sending.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

BackendId = int
"""Identifies a backend, the same at every gateway and after every restart."""


class Outcome(IntEnum):
    """How an attempt, a health check or a counter call ended."""

    OK = 1  # served, or the amount was added
    ERROR = 2  # the backend responded with an error
    REJECTED = 3  # the peer shed it without running it
    TIMEOUT = 4  # no response in time
    CONNECT_FAILED = 5  # no connection could be made in time
    RESET = 6  # the connection was lost, or what came was no response
    CANCELLED = 7  # the gateway cancelled it
    SKIPPED = 8  # not sent, as nothing was waited for any more

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the backend did not run the request."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SKIPPED)


class UpdateKind(IntEnum):
    """What an update of the endpoint list holds."""

    CHANGES = 0  # the changed entries only
    FULL = 1  # the whole list, which replaces the one before
    CACHED = 2  # the whole list as it was before a restart, perhaps out of date
    FAILED = 3  # nothing: the list could not be had, and the one before stays


class EndpointStatus(IntEnum):
    """The state of a backend as the endpoint list has it."""

    GONE = 0  # removed; among changes only
    READY = 1
    DRAINING = 2  # finishing its work: no new requests


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        backend: which backend.
        state: whether it takes requests.
        zone: the number of its zone.
        kind: the number of its kind of machine.
        cell: the number of its cell, for DeduplicationScope.CELL.
        size: its size in relation to others, without a unit.
        up_since_ms: when it last started, on the gateway's clock; 0: long ago.
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
        entries: of a partitioned list, those of this gateway's partition.
        version: the version of the list after the update; it only grows.
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
        request: the number of the request; a retry by the client has a new one.
        customer: whose quota it draws on.
        plan: the index of the customer's plan in the settings.
        request_class: the index of its class in the settings.
        units: what it draws from the quota; where Settings.settled_after holds, an estimate.
        first_gateway: the index of the first gateway that gets this customer's requests.
        gateway_spread: how many gateways in a row do, from the first on, counted round.
        time_left_ms: how long the client still waits.
        retry: whether the client has marked it as a retry.
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
        attempt: which of its attempts.
        backend: where the attempt was sent.
        elapsed_ms: time since it was sent.
    """

    request: int
    attempt: int
    backend: BackendId
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of an attempt.

    Attributes:
        request: the number of the request.
        attempt: which of its attempts.
        backend: where it was sent.
        outcome: how it ended.
        elapsed_ms: time since it was sent.
        concluded: whether the request has its final response, by this attempt or before.
        quota_used_percent: the customer's use of its plan's rate at all gateways, in a recent
            period of the meter; None where none is told.
        actual_units: the units that the request has cost, in place of the estimate; 0: unknown.
        report: the backend's load report, its values in the order of Settings.report_fields; may
            be empty.
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
    """The client has left: no response is owed any more.

    Attributes:
        request: the number of the request.
    """

    request: int


@dataclass(slots=True)
class DeadlineReached:
    """A request's time is over, and none of its attempts is in flight any more.

    Attributes:
        request: the number of the request.
    """

    request: int


@dataclass(slots=True)
class DrainStarted:
    """The gateway is to end: every request that is pending or still comes has less time.

    Attributes:
        respond_within_ms: time from now on in which each final response is due.
    """

    respond_within_ms: float


@dataclass(slots=True)
class TimerFired:
    """A timer is due.

    Attributes:
        label: as it was given in SetTimer.
    """

    label: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of a health check.

    Attributes:
        backend: which backend was checked.
        outcome: OK if it is healthy.
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
        sender: the index of that gateway.
        body: the message.
    """

    sender: int
    body: bytes


@dataclass(slots=True)
class CounterReplied:
    """The one reply to a counter call.

    Attributes:
        name: the number that was added to.
        outcome: OK if the amount was added; `Outcome.never_ran` proves that it was not.
        elapsed_ms: how long the call took.
        total: the number's new total, in quota units; valid with OK only.
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
