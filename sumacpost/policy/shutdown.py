"""When a graceful shutdown does what: every time in it follows from the earliest SIGKILL.

The platform sends SIGKILL no sooner than the longest deadline of the deployment, counted as 3 s
where it is longer, and 0.7 s after SIGTERM. What is unanswered then is lost, and so is what a
client sends on a connection that is still open: so all responses are written, and all connections
closed, before that. With short deadlines SIGKILL comes soon, and each step is shorter.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from sumacpost.model import RequestClass

MAX_COUNTED_DEADLINE_MS = 3000.0  # of the rule: a longer deadline counts as this
KILL_GRACE_MS = 700.0  # of the rule
# A process may be held up for 150 ms at a time: as the signal comes, and as a response is due.
RESPONSE_MARGIN_MS = 300.0
# For the process to end, which takes it some 50 ms of processor time, on a busy machine.
EXIT_MARGIN_MS = 200.0
# The listener accepts for at least this long: clients learn late that the service ends.
MIN_ACCEPT_MS = 400.0
# No connection for this long means that clients have learnt it; an idle one is closed after it.
QUIET_MS = 200.0
# The listener accepts no longer than this, though connections keep coming.
MAX_ACCEPT_MS = 1000.0
# For a request that is still coming when the listener is closed.
REQUEST_TIMEOUT_MS = 1000.0


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of a shutdown, in milliseconds after SIGTERM unless said otherwise.

    Attributes:
        kill_after_ms: SIGKILL may come from then on.
        min_accept_ms: until then connections are accepted in any case.
        max_accept_ms: until then while they keep coming; while some wait that can't be accepted, as
            all places are taken, until respond_within_ms: they would be reset.
        quiet_ms: a span: without a new connection for this long, no more are expected; an idle
            connection is closed after it.
        request_timeout_ms: a span: an incomplete request is rejected after it.
        respond_within_ms: until then each request has its final response, and each connection is
            closed or closing: no other request is read.
        exit_within_ms: until then the process begins to end, whatever is still open.
    """

    kill_after_ms: float
    min_accept_ms: float
    max_accept_ms: float
    quiet_ms: float
    request_timeout_ms: float
    respond_within_ms: float
    exit_within_ms: float


def shutdown_schedule(classes: Sequence[RequestClass]) -> ShutdownSchedule:
    """Return the schedule for a deployment with these classes of requests."""
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
