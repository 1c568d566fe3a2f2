"""One attempt of a request on a backend, and the outcome that a response gives it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sumacpost.http1 import HTTP_OK, Response
from sumacpost.model import BackendId, Outcome


class AttemptState(Enum):
    """Where an attempt is on its way to its outcome."""

    CREATED = "created"
    WAITING = "waiting"  # queued in its pool, for a connection
    IN_FLIGHT = "in flight"  # written, or being written, on its connection
    SKIPPED = "skipped"  # never to be written; its outcome is reported in the next turn of the loop
    ENDED = "ended"  # its outcome is reported, or nobody waits for one


class AttemptQueue(Protocol):
    """What an attempt waits in: a connection pool."""

    def remove_waiting(self, attempt: Attempt) -> None:
        """Take an attempt out that has not been written."""


class AttemptConnection(Protocol):
    """What an attempt is written on: a connection."""

    def abandon_attempt(self) -> None:
        """Close the connection without an outcome for the attempt that it carries."""


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request; it ends with exactly one outcome, unless it is cancelled."""

    owner: object  # whatever the outcome is for; handed back untouched
    index: int  # among the attempts of its request, from 0
    backend: BackendId
    encode: Callable[[], bytes]  # returns the whole request as it is to be written now
    started_at_ms: float  # by the owner's clock
    retryable: bool = True  # may be followed by another attempt even if the backend ran it
    state: AttemptState = AttemptState.CREATED
    outcome: Outcome | None = None  # noted by the owner
    written: bool = False  # bytes of it have been handed to a connection
    pool: AttemptQueue | None = None
    connection: AttemptConnection | None = None  # only while it is in flight
    connect_task: asyncio.Task[None] | None = None  # only while that may be cancelled

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have run it, or may yet."""
        return self.written and (self.outcome is None or not self.outcome.never_ran)

    @property
    def ended(self) -> bool:
        """Whether no outcome of it will be reported any more."""
        return self.state is AttemptState.ENDED

    def mark_ended(self) -> bool:
        """Mark it as ended; return False if it had ended before."""
        self.connection = None
        if self.state is AttemptState.ENDED:
            return False
        self.state = AttemptState.ENDED
        return True


AttemptEndedCallback = Callable[[Attempt, Outcome, Response | None], None]


def classify_response(response: Response) -> Outcome:
    """Return the outcome of a complete response by its status and its Not-Started header.

    A status that the protocol does not name counts as an error: the request may have run.
    """
    if response.status == HTTP_OK:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(b"not-started", b"").strip() == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR
