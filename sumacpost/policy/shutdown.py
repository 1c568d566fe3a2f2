"""The schedule of a graceful shutdown, which is derived from the earliest time of SIGKILL.

The platform sends SIGKILL no earlier than 0.7 s plus the longest deadline of the deployment, which
counts as at most 3 s, after SIGTERM. Requests without a response are lost then, and so are requests
that clients send on a connection that has not been closed. So all responses are written, and all
connections closed, before that. With short deadlines SIGKILL comes early, and steps are shorter.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from sumacpost.model import RequestClass

MAX_COUNTED_DEADLINE_MS = 3000.0  # the platform counts a longer deadline as this
KILL_GRACE_MS = 700.0  # the platform's time between the longest deadline and SIGKILL
# The process may be stalled for 150 ms at a time: when the signal arrives, and when a response is
# due.
RESPONSE_MARGIN_MS = 300.0
# Time for the process to exit, which takes about 50 ms of processor time, on a busy machine.
EXIT_MARGIN_MS = 200.0
# The listener accepts for at least this long, as clients notice the shutdown with a delay.
MIN_ACCEPT_MS = 400.0
# No new connection for this long means that clients know of the shutdown. Idle connections are
# closed after the same time.
QUIET_MS = 200.0
# The listener accepts no longer than this, even if there are new connections.
MAX_ACCEPT_MS = 1000.0
# Time for a request that is incomplete when the listener is closed.
REQUEST_TIMEOUT_MS = 1000.0


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of a shutdown, in ms after SIGTERM unless stated otherwise.

    Attributes:
        kill_after_ms: the earliest time of SIGKILL.
        min_accept_ms: connections are accepted at least until then.
        max_accept_ms: connections are accepted until then while there are new ones. While
            connections wait that can't be accepted, as the connection limit is reached, the
            listener is not closed before respond_within_ms: closing it would reset them.
        quiet_ms: a duration: after this long without a new connection no more are expected, and an
            idle connection is closed.
        request_timeout_ms: a duration after which an incomplete request is rejected.
        respond_within_ms: by then each request has its final response, and each connection is
            closed or closing; no further request is read.
        exit_within_ms: the process starts to exit by then, even if connections are still open.
    """

    kill_after_ms: float
    min_accept_ms: float
    max_accept_ms: float
    quiet_ms: float
    request_timeout_ms: float
    respond_within_ms: float
    exit_within_ms: float


def shutdown_schedule(classes: Sequence[RequestClass]) -> ShutdownSchedule:
    """Return the schedule for a deployment with these request classes."""
    longest_ms = max(request_class.deadline_ms for request_class in classes)
    kill_after_ms = min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS
    respond_within_ms = kill_after_ms - RESPONSE_MARGIN_MS
    return ShutdownSchedule(
        kill_after_ms=kill_after_ms,
        min_accept_ms=min(MIN_ACCEPT_MS, respond_within_ms),
        max_accept_ms=min(MAX_ACCEPT_MS, respond_within_ms),
        quiet_ms=QUIET_MS,
        request_timeout_ms=REQUEST_TIMEOUT_MS,
        respond_within_ms=respond_within_ms,
        exit_within_ms=kill_after_ms - EXIT_MARGIN_MS,
    )
