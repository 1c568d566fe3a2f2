"""The one place that decides whether an attempt of a request may be sent, repeated or written now.

The retry policy asks before it chooses a backend, and the network code asks again right before the
bytes are written: in between a connection may have had to come up, the backend may have begun to
drain, and another attempt may have run.
"""

from sumacpost.model import DeduplicationScope, Endpoint, Idempotency, NotSentReason, Settings
from sumacpost.policy.endpoint_table import zone_and_cell_groups
from sumacpost.policy.pending_request import PendingRequest

ARRIVAL_MARGIN_MS = 50.0  # an attempt arrives within this and the time that its connection may take


def not_repeated_reason(
    now: float, request: PendingRequest, settings: Settings
) -> NotSentReason | None:
    """Return why no further attempt of a request may be sent now; None: one may."""
    if not request.is_repeatable:
        if not request.has_idempotency_key:
            return NotSentReason.NOT_REPEATABLE
        if now >= request.pinned_until - settings.connect_timeout_ms - ARRIVAL_MARGIN_MS:
            return NotSentReason.WINDOW_OVER
    if len(request.attempted_backends) >= settings.max_attempts:
        return NotSentReason.ATTEMPTS_USED
    if now >= request.deadline - settings.tick_ms:
        return NotSentReason.DEADLINE
    return None


def not_written_reason(
    now: float, request: PendingRequest, attempt: int, ready: bool, settings: Settings
) -> NotSentReason | None:
    """Return why an attempt that has been sent may not be written now; None: it may.

    ready: whether its backend is still listed as ready, in the incarnation that was chosen.
    """
    if now >= request.deadline:
        return NotSentReason.DEADLINE
    if not ready:
        return NotSentReason.BACKEND_NOT_READY
    others_in_flight = any(number != attempt for number in request.in_flight)
    not_idempotent = request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
    if others_in_flight and (not_idempotent or not settings.hedging):
        return NotSentReason.SECOND_COPY
    if request.is_repeatable:
        return None
    return _not_repeated_at_endpoint_reason(
        now, request, request.attempted_backends[attempt].endpoint
    )


def _not_repeated_at_endpoint_reason(
    now: float, request: PendingRequest, endpoint: Endpoint
) -> NotSentReason | None:
    """Return why a request that may have run may not be written to a backend now."""
    if not request.has_idempotency_key:
        return NotSentReason.NOT_REPEATABLE
    if now >= request.pinned_until - ARRIVAL_MARGIN_MS:
        return NotSentReason.WINDOW_OVER
    return None if _in_scope(request, endpoint) else NotSentReason.OUT_OF_SCOPE


def _in_scope(request: PendingRequest, endpoint: Endpoint) -> bool:
    """Return whether a backend drops the repeats of what may have run before."""
    pinned_group = request.pinned_group
    is_global = pinned_group is None or pinned_group.scope is DeduplicationScope.ALL
    return is_global or pinned_group in zone_and_cell_groups(endpoint)
