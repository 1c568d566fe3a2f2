"""Attempts of a request on a backend, and the outcome that a response implies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sumacpost.http1 import HTTP_OK, Response
from sumacpost.model import BackendId, Outcome


class AttemptState(Enum):
    """The stages of an attempt."""

    CREATED = "created"
    WAITING = "waiting"  # queued in its pool until a connection is available
    IN_FLIGHT = "in flight"  # its request has been written to a connection, or is being written
    SKIPPED = "skipped"  # will not be written; the next event loop iteration reports the outcome
    ENDED = "ended"  # its outcome has been reported, or the attempt was cancelled


class AttemptQueue(Protocol):
    """The queue in which an attempt waits for a connection: a connection pool."""

    def remove_waiting(self, attempt: Attempt) -> None:
        """Remove an attempt that has not been written."""


class AttemptConnection(Protocol):
    """The connection to which an attempt is written."""

    def cancel_attempt(self) -> None:
        """Close the connection without reporting an outcome for its attempt."""


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request. The pools report exactly one outcome, unless it is cancelled.

    The ingress, which cancels it, then reports the outcome itself.
    """

    owner: object  # the request of the attempt; returned unchanged with the outcome
    index: int  # position among the attempts of the request, from 0
    backend: BackendId
    encode: Callable[[], bytes]  # returns the complete request, encoded at the time of writing
    started_at_ms: float  # ms, on the clock of the ingress
    retryable: bool = True  # another attempt may follow even if the backend ran this one
    state: AttemptState = AttemptState.CREATED
    outcome: Outcome | None = None  # set by the ingress when the attempt has ended
    written: bool = False  # bytes of the request have been passed to a connection
    pool: AttemptQueue | None = None
    connection: AttemptConnection | None = None  # None unless the attempt is in flight
    # The task that connects for the attempt; None once connecting can no longer be cancelled.
    connect_task: asyncio.Task[None] | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have run the request or may still run it."""
        return self.written and (self.outcome is None or not self.outcome.never_ran)

    @property
    def ended(self) -> bool:
        """Whether the attempt has ended, so that no further outcome is reported."""
        return self.state is AttemptState.ENDED

    def mark_ended(self) -> bool:
        """Mark the attempt as ended; return False if it had already ended."""
        self.connection = None
        if self.state is AttemptState.ENDED:
            return False
        self.state = AttemptState.ENDED
        return True

    def forget_request(self) -> None:
        """Drop the references to the request of an ended attempt, which refers to the attempt.

        Otherwise the request would stay in memory until the garbage collector breaks the cycle.
        """
        self.owner = None
        self.encode = _encode_ended


def _encode_ended() -> bytes:
    raise RuntimeError("the attempt has ended")


AttemptEndedCallback = Callable[[Attempt, Outcome, Response | None], None]


def classify_response(response: Response) -> Outcome:
    """Return the outcome implied by the status and the Not-Started header of a complete response.

    A status that the protocol does not define counts as an error: the request may have run.
    """
    if response.status == HTTP_OK:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(b"not-started", b"").strip() == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR
