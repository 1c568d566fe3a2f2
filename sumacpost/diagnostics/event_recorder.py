"""What became of requests, attempts and connections: counted, the latest kept, a drain logged.

A line for each request would cost more than it tells while all is well. So in normal service events
are only counted, and the latest are kept in memory for a look at them (SIGUSR1) or the end of a
request that should not have ended so. In a drain each event is logged at once: its requests are
few, and a process that is killed can tell nothing later.
"""

from __future__ import annotations

import logging
import time
from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

log = logging.getLogger(__name__)

MAX_KEPT_EVENTS = 512  # of a busy ingress, a second or two; some 200 KB


class EventKind(Enum):
    """What has happened; the values are the first words of the log line."""

    REQUEST_ACCEPTED = "request accepted"
    REQUEST_REFUSED = "request refused"  # not valid, so no policy has seen it
    REQUEST_CANCELLED = "request cancelled"
    REQUEST_CONCLUDED = "request concluded"  # its final response is written
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_SKIPPED = "attempt skipped"  # chosen, and not written
    ATTEMPT_ENDED = "attempt ended"
    CLIENT_CONNECTION_CLOSED = "client connection closed"
    BACKEND_CONNECTION_CLOSED = "backend connection closed"
    DRAIN_PHASE = "drain phase"
    VIOLATION = "rule violated"


class RecordedEvent(NamedTuple):
    """One event. A named tuple, as one is made for each event of each request.

    Attributes:
        at_s: when, in monotonic seconds.
        kind: what has happened.
        reason: why, or with what result; a word, as it is counted by it.
        subject: what it happened to: the id of a request, or the address of a peer.
        detail: further fields, with a % for each of `values`.
        values: formatted only where the event is logged.
    """

    at_s: float
    kind: EventKind
    reason: str
    subject: object
    detail: str
    values: tuple[object, ...]

    def __str__(self) -> str:
        subject = self.subject
        name = subject.decode("latin-1") if isinstance(subject, bytes) else subject
        detail = " " + self.detail % self.values if self.detail else ""
        return f"{self.kind.value}: subject={name} reason={self.reason}{detail}"


class EventRecorder:
    """Counts events by kind and reason, and keeps the latest.

    Attributes:
        logs_live: whether each event is logged as it comes.
        counts: how many events there have been, by kind and reason.
    """

    def __init__(self) -> None:
        self.logs_live = False
        self.counts: Counter[tuple[EventKind, str]] = Counter()
        self._recent: deque[RecordedEvent] = deque(maxlen=MAX_KEPT_EVENTS)

    def record(
        self, kind: EventKind, reason: str, subject: object, detail: str = "", *values: object
    ) -> None:
        """Count and keep an event, and log it if events are logged live."""
        event = RecordedEvent(time.monotonic(), kind, reason, subject, detail, values)
        self.counts[kind, reason] += 1
        self._recent.append(event)
        if self.logs_live:
            log.info("%s", event)

    def record_violation(
        self, rule: str, subject: object, detail: str = "", *values: object
    ) -> None:
        """Record that a rule has been broken, or would have been, by a fault of the program."""
        self.record(EventKind.VIOLATION, rule, subject, detail, *values)
        log.error("rule violated: subject=%s rule=%s " + detail, subject, rule, *values)
        self.log_events_of(subject)

    @property
    def violation_count(self) -> int:
        """How many violations there have been."""
        counts = self.counts.items()
        return sum(count for (kind, _), count in counts if kind is EventKind.VIOLATION)

    def log_events_of(self, subject: object) -> None:
        """Log the kept events of one subject, as a request has ended that should not have."""
        for event in self._recent:
            if event.subject == subject:
                _log_with_age(event)

    def log_recent_events(self) -> None:
        """Log all kept events, and the counts."""
        for event in self._recent:
            _log_with_age(event)
        self.log_counts()

    def log_counts(self) -> None:
        """Log how many events there have been since the start."""
        fields = (
            f"{kind.value.replace(' ', '_')}.{reason}={count}"
            for (kind, reason), count in sorted(
                self.counts.items(), key=lambda item: (item[0][0].value, item[0][1])
            )
        )
        log.info("event counts: %s", " ".join(fields))


def _log_with_age(event: RecordedEvent) -> None:
    log.info("recent event: age_s=%.3f %s", time.monotonic() - event.at_s, event)
