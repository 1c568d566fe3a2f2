"""The actions of a gateway: what the network code is to do. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from sumacpost.model.events import BackendId


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0, in the order of sending.

    Attributes:
        request: the number of the request.
        backend: where to send it.
        timeout_ms: how long to wait for the response; 0: until the client's deadline.
    """

    request: int
    backend: BackendId
    timeout_ms: float = 0.0


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
    """

    request: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final response: failed; the request may have had its effect.

    Attributes:
        request: the number of the request.
    """

    request: int


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
