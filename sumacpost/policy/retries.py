"""Retries: their budget, which of them are permitted, and the timer for hedged requests."""

from sumacpost.model import (
    Actions,
    DeduplicationScope,
    DenialReason,
    Idempotency,
    SetTimer,
    Settings,
)
from sumacpost.policy.attempt_rules import repeat_denial_reason
from sumacpost.policy.pending_request import PendingRequest

RETRY_RATIO = 0.1  # retry tokens that each request adds to the budget
MAX_RETRY_TOKENS = 10.0  # capacity of the budget, which is full at the start


class RetryPolicy:
    """Decides which requests may be retried, and when a hedged attempt may follow."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.retry_tokens = MAX_RETRY_TOKENS

    def deposit(self) -> None:
        """Add the tokens of one request to the retry budget."""
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_RATIO)

    def retry_denial_reason(self, now: float, request: PendingRequest) -> DenialReason | None:
        """Return why no further attempt may be sent now, or None if a retry is permitted."""
        reason = repeat_denial_reason(now, request, self._settings)
        if reason is None and self.retry_tokens < 1:
            return DenialReason.RETRY_BUDGET
        return reason

    def permits_rejection(self, request: PendingRequest) -> bool:
        """Return whether the client may be advised to retry; its retry may reach any backend."""
        scope = request.request_class.deduplication_scope
        return request.is_repeatable or (
            request.has_idempotency_key and scope is DeduplicationScope.ALL
        )

    def hedge_timer(self, now: float, request: PendingRequest, overdue_after_ms: float) -> Actions:
        """Return the timer for the latest attempt, if a hedged attempt could follow it then."""
        settings = self._settings
        idempotency = request.request_class.idempotency
        can_be_hedged = settings.hedging and idempotency is not Idempotency.NOT_IDEMPOTENT
        attempt_left = len(request.attempted_backends) < settings.max_attempts
        if not can_be_hedged or not attempt_left or now + overdue_after_ms >= request.deadline:
            return []
        label = request.event.request * settings.max_attempts + request.last_attempt
        return [SetTimer(overdue_after_ms, label)]
