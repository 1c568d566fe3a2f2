"""Connection pools for a single backend, and the outcomes of its attempts."""

from __future__ import annotations

from sumacpost.http1 import Response
from sumacpost.model import Outcome
from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.pool_manager import PoolManager, UpstreamLimits
from tests.support.event_loop import until

PAYLOAD = b"POST /vat-filing HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"


class AttemptRecorder:
    """Starts attempts on a single backend on loopback and records their outcomes.

    Attributes:
        ended_attempts: the ended attempts with outcome and response, in order of their ends.
        pool_manager: the connection pools under test; the backend has number 1.
    """

    def __init__(self, port: int, max_connections: int = 10, idle_timeout_s: float = 30.0) -> None:
        self.ended_attempts: list[tuple[Attempt, Outcome, Response | None]] = []
        self.pool_manager = PoolManager(
            UpstreamLimits(max_connections, 0.25, idle_timeout_s),
            on_attempt_ended=lambda *end: self.ended_attempts.append(end),
        )
        self.pool_manager.update_address(1, ("127.0.0.1", port))

    def start(self, payload: bytes = PAYLOAD) -> Attempt:
        """Start an attempt; assert that its outcome is not reported during the call."""
        attempt = Attempt(None, 0, 1, lambda: payload, 0.0)
        self.pool_manager.start(attempt)
        assert not any(a is attempt for a, _, _ in self.ended_attempts)
        return attempt

    async def outcome(self, payload: bytes = PAYLOAD) -> tuple[Outcome, Response | None]:
        """Start an attempt, wait for its end and return its outcome and response."""
        attempt = self.start(payload)
        await until(lambda: any(a is attempt for a, _, _ in self.ended_attempts))
        return next((o, r) for a, o, r in self.ended_attempts if a is attempt)
