"""What becomes of a client's complete request: the ingress takes it, or it is answered here."""

from __future__ import annotations

from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.errors import RequestError
from sumacpost.ingress import Ingress
from sumacpost.policy.shutdown import ShutdownSchedule
from sumacpost.server.request import RequestParser
from sumacpost.server.request_reader import RequestMessage
from sumacpost.server.response import PendingResponse

HEALTH_CHECK_TARGET = b"/healthz"
_PLAIN_TEXT = ((b"Content-Type", b"text/plain"),)


class RequestHandler:
    """Passes clients' requests to the ingress; answers health checks and bad requests itself."""

    def __init__(self, ingress: Ingress, parser: RequestParser) -> None:
        self._ingress = ingress
        self._parser = parser
        self.recorder = ingress.recorder
        self.draining = False

    def handle(self, message: RequestMessage, response: PendingResponse) -> None:
        """Start the request whose response this is, or answer it at once."""
        if message.target == HEALTH_CHECK_TARGET and message.method == b"GET":
            ready = self._ingress.ready and not self.draining
            response.send(200 if ready else 503)
            return
        try:
            request = self._parser.parse(message)
            response.request = self._ingress.start_request(request, response)
        except RequestError as error:
            self.recorder.record(
                EventKind.REQUEST_REFUSED, str(error.status), message.target, "error=%s", error
            )
            response.send(error.status, error.reason.encode(), _PLAIN_TEXT)

    def cancel(self, response: PendingResponse) -> None:
        """Cancel the request if its response is still pending: its client has gone."""
        if response.head is None and response.request is not None:
            self._ingress.cancel_request(response.request)

    def drain(self) -> ShutdownSchedule:
        """Report as not ready from now on, and let no request outlast the drain.

        Return when the steps of the drain are due.
        """
        self.draining = True
        return self._ingress.drain()
