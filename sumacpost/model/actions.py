"""The actions that a gateway requests from the network code. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sumacpost.model.events import BackendId


class SendReason(Enum):
    """Why an attempt is started."""

    FIRST = "first"
    RETRY = "retry"  # the previous attempt has ended without a successful response
    HEDGE = "hedge"  # the previous attempt is overdue and still in flight


class DenialReason(Enum):
    """Why a request is rejected or failed, or an attempt is not sent; the values are logged."""

    UNSTATED = "unstated"
    QUOTA = "quota"  # the customer has exceeded its quota
    CEILING = "ceiling"  # the customer has exceeded the hard ceiling of its plan
    OVERLOAD = "overload"  # no backend is available, or the expected wait is too long
    NOT_REPEATABLE = "not_repeatable"  # an attempt may have run, and no other may follow it
    ATTEMPTS_USED = "attempts_used"  # the request has had as many attempts as the settings allow
    DEADLINE = "deadline"  # the deadline has passed or is too near for another attempt
    RETRY_BUDGET = "retry_budget"  # the gateway is sending too many retries in total
    NO_BACKEND = "no_backend"  # no backend is available for a retry
    WINDOW_OVER = "window_over"  # backends may have dropped the request's idempotency key
    OUT_OF_SCOPE = "out_of_scope"  # the backend does not recognize the key of an earlier attempt
    SECOND_COPY = "second_copy"  # another attempt is in flight or may have run; one is allowed
    BACKEND_NOT_READY = "backend_not_ready"  # the backend is draining, removed or restarted
    CONCLUDED = "concluded"  # the request has its final response


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order of sending.

    Attributes:
        request: the number of the request.
        backend: the backend to send the attempt to.
        timeout_ms: how long to wait for the response; 0: until the client's deadline.
        reason: why the attempt is started, for the log.
    """

    request: int
    backend: BackendId
    timeout_ms: float = 0.0
    reason: SendReason = SendReason.FIRST


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt; AttemptEnded still reports its outcome, exactly once.

    Attributes:
        request: the number of the request.
        attempt: the number of the attempt.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response: rejected. The request has had no effect, or repeating it is harmless.

    Attributes:
        request: the number of the request.
        retry_after_ms: after which time the client is advised to retry; 0: no advice.
        reason: why the request is rejected, for the log.
    """

    request: int
    retry_after_ms: float = 0.0
    reason: DenialReason = DenialReason.UNSTATED


@dataclass(slots=True)
class Fail:
    """Final response: failed. The request may have had an effect.

    Attributes:
        request: the number of the request.
        reason: why the request fails, for the log.
    """

    request: int
    reason: DenialReason = DenialReason.UNSTATED


@dataclass(slots=True)
class SetTimer:
    """Set a timer, which can't be cancelled; TimerFired arrives in a later batch of events.

    Attributes:
        after_ms: the time until the timer fires.
        label: the label that TimerFired returns.
    """

    after_ms: float
    label: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check; HealthCheckEnded reports its result, exactly once.

    Attributes:
        backend: the backend to check.
    """

    backend: BackendId


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to other gateways, without a guarantee of delivery.

    Attributes:
        gateway: the index of the receiving gateway; None: all other gateways.
        body: the message, of at most 256 bytes.
    """

    gateway: int | None
    body: bytes


@dataclass(slots=True)
class AddToCounter:
    """Add to a total in the shared counter; CounterReplied reports the result, exactly once.

    Attributes:
        name: the name of the total, an integer.
        amount: the amount to add, in quota units; may be negative.
        ttl_ms: the time to live of the total.
    """

    name: int
    amount: float
    ttl_ms: float


@dataclass(slots=True)
class Log:
    """Write a log line for the operators, for a rare change of state.

    Attributes:
        text: the text of the line.
    """

    text: str


Action = (
    Send | Cancel | Reject | Fail | SetTimer | CheckHealth | SendPeerMessage | AddToCounter | Log
)
Actions = list[Action]
