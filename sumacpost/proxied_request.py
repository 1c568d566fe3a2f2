"""A request that the ingress is proxying: its response channel to the client and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from sumacpost.server.request import Request
from sumacpost.timer import Timer
from sumacpost.upstream.attempt import Attempt

Headers = tuple[tuple[bytes, bytes], ...]


class ResponseChannel(Protocol):
    """Sends the final response of one request, and detects that its client has disconnected."""

    received_at: float  # monotonic clock, seconds: when the last byte of the request was received

    def send(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Send the final response."""

    def client_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""


@dataclass(slots=True, eq=False)
class ProxiedRequest:
    """A client's request that has no final response yet, or has attempts in flight."""

    number: int
    request: Request
    response: ResponseChannel
    deadline: float  # ms, by the ingress's clock
    attempts: list[Attempt] = field(default_factory=list)
    timer: Timer | None = None

    def other_attempt_may_have_run(self, attempt: Attempt) -> bool:
        """Return whether a backend may have run, or may still run, another attempt."""
        return any(other is not attempt and other.may_have_run for other in self.attempts)
