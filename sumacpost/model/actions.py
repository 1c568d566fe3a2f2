"""The actions of a gateway: what the network code is to do. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sumacpost.model.events import BackendId


class SendReason(Enum):
    """Why an attempt is started."""

    FIRST = "first"
    RETRY = "retry"  # the attempt before it has ended without a good response
    HEDGE = "hedge"  # the attempt before it is overdue and goes on


class NotSentReason(Enum):
    """Why a request is not served, or an attempt of it not sent; the values are for the log."""

    UNSTATED = "unstated"
    QUOTA = "quota"  # the customer is over its quota
    CEILING = "ceiling"  # the customer is over its plan's hard ceiling
    OVERLOAD = "overload"  # no backend would serve it in time
    NOT_REPEATABLE = "not_repeatable"  # an attempt may have run, and no other may follow
    ATTEMPTS_USED = "attempts_used"  # as many as the settings permit have ended
    DEADLINE = "deadline"  # too little time is left for another attempt
    RETRY_BUDGET = "retry_budget"  # too many retries are being sent altogether
    NO_BACKEND = "no_backend"  # none is left to send a retry to
    WINDOW_OVER = "window_over"  # backends may have forgotten its idempotency key
    OUT_OF_SCOPE = "out_of_scope"  # the backend does not know the key of the attempt before
    SECOND_COPY = "second_copy"  # another attempt is out, and there may be one only
    BACKEND_NOT_READY = "backend_not_ready"  # it drains, is gone or has started anew
    CONCLUDED = "concluded"  # the request has its final response


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0, in the order of sending.

    Attributes:
        request: the number of the request.
        backend: where to send it.
        timeout_ms: how long to wait for the response; 0: until the client's deadline.
        reason: why it is started, for the log.
    """

    request: int
    backend: BackendId
    timeout_ms: float = 0.0
    reason: SendReason = SendReason.FIRST


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt; its one outcome still comes.

    Attributes:
        request: the number of the request.
        attempt: which of its attempts.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response: rejected; the request has had no effect, or repeating it has none.

    Attributes:
        request: the number of the request.
        retry_after_ms: when the client is advised to retry, from now on; 0: no advice.
        reason: why, for the log.
    """

    request: int
    retry_after_ms: float = 0.0
    reason: NotSentReason = NotSentReason.UNSTATED


@dataclass(slots=True)
class Fail:
    """Final response: failed; the request may have had its effect.

    Attributes:
        request: the number of the request.
        reason: why, for the log.
    """

    request: int
    reason: NotSentReason = NotSentReason.UNSTATED


@dataclass(slots=True)
class SetTimer:
    """Set a timer, which can't be cancelled; TimerFired comes in a later batch of events.

    Attributes:
        after_ms: when it fires, from now on.
        label: returned with TimerFired.
    """

    after_ms: float
    label: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check; HealthCheckEnded comes once for each.

    Attributes:
        backend: which backend to check.
    """

    backend: BackendId


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to other gateways, without a guarantee of delivery.

    Attributes:
        gateway: the index of the receiver; None: all other gateways.
        body: the message, of at most 256 bytes.
    """

    gateway: int | None
    body: bytes


@dataclass(slots=True)
class AddToCounter:
    """Add to a number of the shared counter; CounterReplied comes once for each.

    Attributes:
        name: which number.
        amount: what to add, in quota units; may be negative.
        ttl_ms: how long the number lives from now on.
    """

    name: int
    amount: float
    ttl_ms: float


@dataclass(slots=True)
class Log:
    """Write a log line for the operators, on a rare change of state.

    Attributes:
        text: the line.
    """

    text: str


Action = (
    Send | Cancel | Reject | Fail | SetTimer | CheckHealth | SendPeerMessage | AddToCounter | Log
)
Actions = list[Action]
