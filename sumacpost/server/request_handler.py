"""Handles complete requests of clients: passes them to the ingress or answers them directly."""

from __future__ import annotations

from collections.abc import Collection

from sumacpost.address import Address
from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.errors import RequestError
from sumacpost.ingress import Ingress
from sumacpost.policy.shutdown import ShutdownSchedule
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.request import RequestParser
from sumacpost.server.request_reader import RequestMessage
from sumacpost.server.response import PendingResponse

HEALTH_CHECK_TARGET = b"/healthz"
_PLAIN_TEXT = ((b"Content-Type", b"text/plain"),)


class RequestHandler:
    """Passes requests to the ingress; answers health checks and invalid requests itself.

    Attributes:
        recorder: records events of requests and connections.
        memory: counts what the connections hold.
        turns: divides the iterations of the event loop among the connections.
        draining: whether the drain has started.
    """

    def __init__(self, ingress: Ingress, parser: RequestParser) -> None:
        self._ingress = ingress
        self._parser = parser
        self.recorder = ingress.recorder
        self.memory = ingress.memory
        self.turns = ingress.turns
        self.draining = False

    def handle(self, message: RequestMessage, response: PendingResponse) -> None:
        """Pass the request to the ingress, or send its response immediately."""
        if message.target == HEALTH_CHECK_TARGET and message.method == b"GET":
            ready = self._ingress.ready and not self.draining
            response.send(200 if ready else 503)
            return
        try:
            request = self._parser.parse(message)
            accepted = self._ingress.start_request(request, response)
            if response.head is None:
                response.request = accepted
        except RequestError as error:
            self.recorder.record(
                EventKind.REQUEST_REFUSED,
                str(error.status),
                message.target,
                "error=%s",
                str(error),
            )
            response.send(error.status, error.reason.encode(), _PLAIN_TEXT)

    def end_connection(
        self,
        peer: Address,
        reason: CloseReason,
        unsent: Collection[PendingResponse],
        incomplete_bytes: int,
        unhandled_bytes: int,
    ) -> None:
        """Cancel the requests whose responses are unsent, and record the end of a connection.

        unhandled_bytes: bytes that were read and not parsed.
        """
        for response in unsent:
            self._cancel(response)
        if unsent and not reason.permits_unsent_responses:
            self.recorder.record_violation(
                "closed_with_response_owed", peer, "reason=%s owed=%d", reason.value, len(unsent)
            )
        if unhandled_bytes and not reason.permits_unsent_responses:
            self.recorder.record_violation(
                "closed_with_request_read",
                peer,
                "reason=%s bytes=%d",
                reason.value,
                unhandled_bytes,
            )
        self.recorder.record(
            EventKind.CLIENT_CONNECTION_CLOSED,
            reason.value,
            peer,
            "responses_owed=%d incomplete_bytes=%d",
            len(unsent),
            incomplete_bytes,
        )

    def record_unsent_output(self, peer: Address, reason: CloseReason, unsent_bytes: int) -> None:
        """Record a violation if output is dropped for a reason that does not permit that."""
        if unsent_bytes and not reason.permits_unsent_responses:
            self.recorder.record_violation(
                "closed_with_response_unsent",
                peer,
                "reason=%s bytes=%d",
                reason.value,
                unsent_bytes,
            )

    def _cancel(self, response: PendingResponse) -> None:
        """Cancel the request of a disconnected client if its response is still pending."""
        if response.head is None and response.request is not None:
            self._ingress.cancel_request(response.request)
            response.request = None

    def drain(self) -> ShutdownSchedule:
        """Fail health checks from now on, and limit all deadlines as the drain's schedule requires.

        Return the schedule.
        """
        self.draining = True
        return self._ingress.drain()
