"""Records events of requests, attempts and connections.

In normal operation a log line for each request would cost more than it is worth. So events are only
counted, and the most recent ones are kept in memory; they are logged on SIGUSR1 or when a rule is
violated. During a drain each event is logged immediately, because there are few requests and a
process that is killed can't log anything later.
"""

from __future__ import annotations

import logging
import time
from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

from sumacpost.address import Address

log = logging.getLogger(__name__)

MAX_KEPT_EVENTS = 512  # about 1 to 2 s of events at a busy ingress
MAX_KEPT_CHARACTERS = 128  # kept of each subject or value; the longest valid id of a request

_NUMBER_TYPES = frozenset((int, float))

EventValue = int | float | str
"""A value of an event: data without references to other objects of the program."""

EventSubject = bytes | str | Address
"""What an event concerns."""


class EventKind(Enum):
    """The kinds of events; the values are the first words of the log line."""

    REQUEST_ACCEPTED = "request accepted"
    REQUEST_REFUSED = "request refused"  # invalid, so it is not passed to the policy
    REQUEST_CANCELLED = "request cancelled"
    REQUEST_CONCLUDED = "request concluded"  # its final response is passed to the client connection
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_SKIPPED = "attempt skipped"  # started, but not written
    ATTEMPT_ENDED = "attempt ended"
    CLIENT_CONNECTION_CLOSED = "client connection closed"
    BACKEND_CONNECTION_CLOSED = "backend connection closed"
    DRAIN_PHASE = "drain phase"
    VIOLATION = "rule violated"


class RecordedEvent(NamedTuple):
    """One event. A named tuple, which is cheap to create for each event of each request.

    Attributes:
        at_s: the time of the event, monotonic clock, in seconds.
        kind: what has happened.
        reason: why it happened, or its result; a single word, because events are counted by it.
        subject: what the event concerns: the id of a request, the address of a peer, the target of
            a refused request (empty if the request could not be read), or the subject of a drain
            phase. At most its first MAX_KEPT_CHARACTERS.
        detail: further fields of the log line, as a %-format string for `values`.
        values: the values for `detail`, each a number or at most MAX_KEPT_CHARACTERS of text;
            formatted only if the event is logged.
    """

    at_s: float
    kind: EventKind
    reason: str
    subject: EventSubject
    detail: str
    values: tuple[EventValue, ...]

    def __str__(self) -> str:
        subject = self.subject
        name = subject.decode("latin-1") if isinstance(subject, bytes) else subject
        detail = " " + self.detail % self.values if self.detail else ""
        return f"{self.kind.value}: subject={name} reason={self.reason}{detail}"


class EventRecorder:
    """Counts events by kind and reason, and keeps the most recent ones.

    The memory of the kept events is bounded whatever is recorded: there are at most
    MAX_KEPT_EVENTS, and each keeps numbers and short texts only. An object that is recorded, such
    as an exception with its traceback, is kept as its text, so that it can be freed.

    Attributes:
        logs_live: whether each event is logged immediately.
        counts: the number of events since the start, by kind and reason.
    """

    def __init__(self) -> None:
        self.logs_live = False
        self.counts: Counter[tuple[EventKind, str]] = Counter()
        self._recent: deque[RecordedEvent] = deque(maxlen=MAX_KEPT_EVENTS)

    def record(
        self,
        kind: EventKind,
        reason: str,
        subject: EventSubject,
        detail: str = "",
        *values: EventValue,
    ) -> None:
        """Count and keep an event, and log it if live logging is on."""
        # Ids and numbers are kept as they are, without a call for each.
        if type(subject) is not bytes or len(subject) > MAX_KEPT_CHARACTERS:
            subject = _kept_subject(subject)
        for value in values:
            if type(value) not in _NUMBER_TYPES:
                values = tuple(map(_kept_value, values))
                break
        event = RecordedEvent(time.monotonic(), kind, reason, subject, detail, values)
        self.counts[kind, reason] += 1
        self._recent.append(event)
        if self.logs_live:
            log.info("%s", event)

    def record_violation(
        self, rule: str, subject: EventSubject, detail: str = "", *values: EventValue
    ) -> None:
        """Record that a fault of the program has violated a rule, or would have violated it.

        Log the violation and the recent events of its subject.
        """
        self.record(EventKind.VIOLATION, rule, subject, detail, *values)
        log.error("rule violated: subject=%s rule=%s " + detail, subject, rule, *values)
        self.log_events_of(subject)

    @property
    def violation_count(self) -> int:
        """The number of violations since the start."""
        counts = self.counts.items()
        return sum(count for (kind, _), count in counts if kind is EventKind.VIOLATION)

    def log_events_of(self, subject: EventSubject) -> None:
        """Log the kept events of one subject, to explain a violation."""
        kept_subject = _kept_subject(subject)
        for event in self._recent:
            if event.subject == kept_subject:
                _log_with_age(event)

    def log_recent_events(self) -> None:
        """Log all kept events and the counts of all events."""
        for event in self._recent:
            _log_with_age(event)
        self.log_counts()

    def log_counts(self) -> None:
        """Log the number of events since the start, by kind and reason."""
        fields = (
            f"{kind.value.replace(' ', '_')}.{reason}={count}"
            for (kind, reason), count in sorted(
                self.counts.items(), key=lambda item: (item[0][0].value, item[0][1])
            )
        )
        log.info("event counts: %s", " ".join(fields))


def _kept_subject(subject: EventSubject) -> EventSubject:
    """Return what is kept of a subject: an address, or text of limited length."""
    if isinstance(subject, tuple):
        return subject
    if isinstance(subject, bytes | str):
        return subject[:MAX_KEPT_CHARACTERS]
    return str(subject)[:MAX_KEPT_CHARACTERS]


def _kept_value(value: EventValue) -> EventValue:
    """Return what is kept of a value: a number, or text of limited length."""
    return value if type(value) in _NUMBER_TYPES else str(value)[:MAX_KEPT_CHARACTERS]


def _log_with_age(event: RecordedEvent) -> None:
    log.info("recent event: age_s=%.3f %s", time.monotonic() - event.at_s, event)
