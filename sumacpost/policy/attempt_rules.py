"""The only module that decides whether an attempt may be sent, repeated or written now.

The retry policy checks before it chooses a backend, and the network code checks again immediately
before it writes the request: in the meantime a connection may have had to be established, the
backend may have started to drain, and another attempt may have run.
"""

from sumacpost.model import DeduplicationScope, DenialReason, Endpoint, Idempotency, Settings
from sumacpost.policy.endpoint_table import zone_and_cell_groups
from sumacpost.policy.pending_request import PendingRequest

# Longest time from writing an attempt to its arrival at the backend; connecting takes up to
# Settings.connect_timeout_ms in addition.
ARRIVAL_MARGIN_MS = 50.0


def repeat_denial_reason(
    now: float, request: PendingRequest, settings: Settings
) -> DenialReason | None:
    """Return why no further attempt of a request may be sent now, or None."""
    if not request.is_repeatable:
        if not request.has_idempotency_key:
            return DenialReason.NOT_REPEATABLE
        if now >= request.pinned_until - settings.connect_timeout_ms - ARRIVAL_MARGIN_MS:
            return DenialReason.WINDOW_OVER
    if len(request.attempted_backends) >= settings.max_attempts:
        return DenialReason.ATTEMPTS_USED
    if now >= request.deadline - settings.tick_ms:
        return DenialReason.DEADLINE
    return None


def write_denial_reason(
    now: float, request: PendingRequest, attempt: int, ready: bool, settings: Settings
) -> DenialReason | None:
    """Return why an attempt that has been started may not be written now, or None if it may.

    ready: whether the backend of the attempt is still listed as ready, in the incarnation that was
        chosen.
    """
    if now >= request.deadline:
        return DenialReason.DEADLINE
    if not ready:
        return DenialReason.BACKEND_NOT_READY
    others_in_flight = any(number != attempt for number in request.in_flight)
    not_idempotent = request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
    if others_in_flight and (not_idempotent or not settings.hedging):
        return DenialReason.SECOND_COPY
    if request.is_repeatable:
        return None
    return _repeat_denial_reason_at_endpoint(
        now, request, request.attempted_backends[attempt].endpoint
    )


def _repeat_denial_reason_at_endpoint(
    now: float, request: PendingRequest, endpoint: Endpoint
) -> DenialReason | None:
    """Return why a request that may have run may not be written to this backend, or None."""
    if not request.has_idempotency_key:
        return DenialReason.NOT_REPEATABLE
    if now >= request.pinned_until - ARRIVAL_MARGIN_MS:
        return DenialReason.WINDOW_OVER
    return None if _in_scope(request, endpoint) else DenialReason.OUT_OF_SCOPE


def _in_scope(request: PendingRequest, endpoint: Endpoint) -> bool:
    """Return whether a backend recognizes the idempotency key of the attempt that may have run."""
    pinned_group = request.pinned_group
    is_global = pinned_group is None or pinned_group.scope is DeduplicationScope.ALL
    return is_global or pinned_group in zone_and_cell_groups(endpoint)
