"""The gateway: turns each event into actions, from the arrival of a request to its conclusion."""

from math import inf
from random import Random

from sumacpost.model import events
from sumacpost.model.actions import (
    Action,
    Actions,
    Cancel,
    DenialReason,
    Fail,
    Reject,
    Send,
    SendReason,
)
from sumacpost.model.settings import Settings
from sumacpost.policy.attempt_rules import write_denial_reason
from sumacpost.policy.backend import Backend, InFlightAttempt
from sumacpost.policy.endpoint_table import EndpointTable
from sumacpost.policy.fleet_estimate import FleetEstimate
from sumacpost.policy.load_balancing import LoadBalancer
from sumacpost.policy.pending_request import PendingRequest
from sumacpost.policy.quota import DEFAULT_MAX_CUSTOMERS, NO_SHOW_MS, CustomerTable
from sumacpost.policy.quota_sync import Grant, QuotaSync
from sumacpost.policy.retries import RetryPolicy

# Admission threshold of requests beyond the quota, as a fraction of that of other requests.
BEYOND_QUOTA_THRESHOLD_FRACTION = 0.5
# Use of the plan's rate, by the meter, from which a customer is over its quota.
METER_FULL_PERCENT = 100


class Gateway:
    """Makes all decisions of one gateway: pass it every event, and carry out its actions.

    max_customers: the number of customers whose state is kept.
    """

    def __init__(
        self, settings: Settings, seed: int, max_customers: int = DEFAULT_MAX_CUSTOMERS
    ) -> None:
        random = Random(seed)
        self.settings = settings
        self.pending: dict[int, PendingRequest] = {}  # by request number
        self.endpoints = EndpointTable(settings)
        self.estimate = FleetEstimate(settings)
        self.load_balancer = LoadBalancer(settings, random, self.endpoints, self.estimate)
        self.customers = CustomerTable(settings, random, max_customers)
        self.quota_sync = QuotaSync(settings, random)
        self.retries = RetryPolicy(settings)
        self._first_event_at = inf
        self._actions: Actions = []

    def handle(self, now: float, event: events.Event) -> Actions:
        """Handle one event at the time `now`, in ms; return actions to be carried out in order."""
        self._actions = []
        self._first_event_at = min(self._first_event_at, now)
        self.load_balancer.slow_start.record_event(now)
        match event:
            case events.AttemptEnded():
                self._attempt_ended(now, event)
            case events.RequestArrived():
                self._request_arrived(now, event)
            case events.CounterReplied():
                self._counter_replied(now, event)
            case events.TimerFired():
                self._timer_fired(now, event)
            case events.RequestCancelled():
                self.pending.pop(event.request, None)
            case events.EndpointListUpdate():
                self.endpoints.update(event)
            case events.DeadlineReached():
                self._deadline_reached(now, event)
            case events.DrainStarted():
                self._drain_started(now, event)
        return self._actions

    def write_denial_reason(self, now: float, number: int, attempt: int) -> DenialReason | None:
        """Return why an attempt that was started may not be written now, or None if it may.

        If it may, the caller has to write it immediately: slow start counts its work from now.
        """
        request = self.pending.get(number)
        if request is None:
            return DenialReason.CONCLUDED
        backend = request.attempted_backends[attempt]
        ready = self.endpoints.is_ready(backend)
        reason = write_denial_reason(now, request, attempt, ready, self.settings)
        if reason is None:
            self.load_balancer.slow_start.record_send(
                now, backend, number, attempt, request.work_ms
            )
        return reason

    def _deadline_reached(self, now: float, event: events.DeadlineReached) -> None:
        """Conclude a request that is still pending, such as one waiting for a counter reply."""
        request = self.pending.get(event.request)
        if request is not None:
            self._reject_or_fail(now, request, DenialReason.DEADLINE)

    def _drain_started(self, now: float, event: events.DrainStarted) -> None:
        """Limit the deadlines of pending requests: the process exits at the end of the drain."""
        latest = now + event.respond_within_ms
        for request in self.pending.values():
            request.deadline = min(request.deadline, latest)

    def _request_arrived(self, now: float, event: events.RequestArrived) -> None:
        """Admit a request by the bucket or beyond the quota, ask the counter, or reject it."""
        settings = self.settings
        customer = self.customers.get_or_create(now, event, self._first_event_at)
        request_class = settings.classes[event.request_class]
        work_ms = self.estimate.expected_work_ms(event)
        request = PendingRequest(event, request_class, customer, work_ms, now)
        self.pending[event.request] = request
        if event.retry and settings.clients_mark_retries:
            customer.return_queue.record_return()
        self.retries.deposit()
        plan = customer.plan
        bucket_size = plan.burst * customer.quota_share
        below_ceiling = customer.ceiling_permits(event.units)
        keep_reserve = settings.clients_mark_retries and not event.retry
        if below_ceiling and customer.has_tokens(event.units, keep_reserve):
            self._admit(now, request, Grant.BUCKET)
            return
        customer.exhausted = True
        if not below_ceiling:
            self._reject(now, request, DenialReason.CEILING)
        elif plan.over_quota_weight > plan.over_quota_cost:
            exceeds_bucket = bucket_size < event.units
            self._admit(now, request, Grant.BUCKET if exceeds_bucket else Grant.BEYOND_QUOTA)
        elif not self.quota_sync.draw_admission(now, customer):
            self._reject(now, request, DenialReason.QUOTA)
        elif self.quota_sync.should_ask_counter(now, request):
            self._ask_counter(now, request)
        elif self.quota_sync.enabled or customer.tokens >= bucket_size:
            # A full bucket is enough for a larger request, which could never pass otherwise.
            self._admit(now, request, Grant.BUCKET)
        else:
            self._reject(now, request, DenialReason.QUOTA)

    def _ask_counter(self, now: float, request: PendingRequest) -> None:
        """Let a request wait for the counter's reply, unless overload would reject it anyway."""
        threshold = self.load_balancer.admission_threshold(request.event.request_class)
        if self.load_balancer.choose(now, request, threshold) is None:
            self._reject(now, request, DenialReason.OVERLOAD)
            return
        request.customer.unreported_units += request.event.units
        self._actions += self.quota_sync.report_usage(now, request.customer, request)

    def _counter_replied(self, now: float, event: events.CounterReplied) -> None:
        """Send or reject the request that waits for the reply, then return unused units."""
        call = self.quota_sync.apply_reply(now, event, self.pending)
        if call is None:
            return
        if call.request is not None and call.grant is not None:
            self._admit_after_wait(now, call.request, call.grant)
        elif call.request is not None:
            self._reject(now, call.request, DenialReason.QUOTA)
        self._actions += self.quota_sync.report_after_reply(now, call)

    def _admit_after_wait(self, now: float, request: PendingRequest, grant: Grant) -> None:
        """Send a request that has waited for the counter, if the ceiling still permits it.

        All requests that wait at the same time have found the same units when they arrived. Units
        are taken from the ceiling where they are checked, and never between two: so what is sent
        is at most what the ceiling had, plus its refill. Units that are reserved at arrival would
        have to be given back wherever a wait can end, and would be missing meanwhile.
        """
        customer = request.customer
        if customer.plan.ceiling_rate:
            customer.refill(now)
        if customer.ceiling_permits(request.event.units):
            self._admit(now, request, grant)
        else:
            customer.exhausted = True
            self._deny_admission(now, request, grant, DenialReason.CEILING)

    def _admit(self, now: float, request: PendingRequest, grant: Grant) -> None:
        """Send a request that the quota permits, unless the fleet is overloaded."""
        customer = request.customer
        units = request.event.units
        threshold = inf  # a request that waited for the counter has passed its threshold
        if grant in (Grant.BUCKET, Grant.BEYOND_QUOTA):
            threshold = self.load_balancer.admission_threshold(request.event.request_class)
            if grant is Grant.BEYOND_QUOTA:
                threshold *= BEYOND_QUOTA_THRESHOLD_FRACTION
        backend = self.load_balancer.choose(now, request, threshold)
        if backend is None:
            self._deny_admission(now, request, grant, DenialReason.OVERLOAD)
            return
        if customer.plan.ceiling_rate:
            customer.ceiling_tokens -= units
        if grant in (Grant.BUCKET, Grant.COUNTER_NOT_APPLIED):
            customer.tokens -= units
            customer.unreported_units += units
            self._actions += self.quota_sync.report_usage(now, customer)
        self._send(now, request, backend, SendReason.FIRST)

    def _deny_admission(
        self, now: float, request: PendingRequest, grant: Grant, reason: DenialReason
    ) -> None:
        """Reject a request that passed the quota; give back what the counter has for it."""
        if grant is Grant.COUNTER:
            request.customer.unreported_units -= request.event.units
        self._reject(now, request, reason)

    def _reject(self, now: float, request: PendingRequest, reason: DenialReason) -> None:
        """Reject a request, with the time after which its client may retry."""
        no_show_ms = NO_SHOW_MS * self.settings.clients_mark_retries
        wait_ms = request.customer.schedule_return(now, request.event.units, no_show_ms)
        retry_after_ms = wait_ms * self.settings.retry_after
        self._conclude(request, Reject(request.event.request, retry_after_ms, reason))

    def _conclude(self, request: PendingRequest, response: Action) -> None:
        self._actions.append(response)
        self.pending.pop(request.event.request, None)

    def _send(
        self, now: float, request: PendingRequest, backend: Backend, reason: SendReason
    ) -> None:
        """Start an attempt, record it and set its timer for hedging."""
        number = request.event.request
        outstanding_requests = self.load_balancer.outstanding_requests(now, backend)
        overdue_after_ms = self.estimate.overdue_after_ms(
            now, backend, request.work_ms, outstanding_requests
        )
        attempt = InFlightAttempt(
            now,
            request.work_ms,
            outstanding_requests,
            request.event.request_class,
            now + overdue_after_ms,
        )
        attempt_number = len(request.attempted_backends)
        request.attempted_backends.append(backend)
        request.in_flight[attempt_number] = attempt
        backend.add_attempt(number, attempt_number, attempt)
        self.load_balancer.slow_start.record_send(
            now, backend, number, attempt_number, request.work_ms
        )
        self.estimate.observe_work(request.work_ms)
        self._actions.append(Send(number, backend.endpoint.backend, reason=reason))
        self._actions += self.retries.hedge_timer(now, request, overdue_after_ms)

    def _timer_fired(self, now: float, event: events.TimerFired) -> None:
        """Send a hedged request to another backend while an overdue attempt is in flight.

        Hedging must not add to the load when the whole fleet is slow: attempts are overdue later
        then, and hedged requests are limited by the retry budget and the admission threshold.
        """
        number, attempt_number = divmod(event.label, self.settings.max_attempts)
        request = self.pending.get(number)
        if request is None or attempt_number != request.last_attempt:
            return
        attempt = request.in_flight.get(attempt_number)
        if attempt is None:
            return
        request.record_possible_execution(attempt_number, attempt.sent_at)
        threshold = self.load_balancer.admission_threshold(request.event.request_class)
        self._retry_or_conclude(now, request, threshold)
        if attempt_number == request.last_attempt:
            overdue_after_ms = attempt.overdue_at - attempt.sent_at
            self._actions += self.retries.hedge_timer(now, request, overdue_after_ms)

    def _attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        """Update the estimates, then conclude the request or retry it as its class permits."""
        self._observe_attempt(now, event)
        request = self.pending.get(event.request)
        if request is None:
            return
        if event.quota_used_percent is not None:  # a meter replaces the counter
            request.customer.adjust_share(now, event.quota_used_percent >= METER_FULL_PERCENT)
        if event.outcome is events.Outcome.OK:
            charged_units = request.event.units
            request.customer.settle_units(event.actual_units or charged_units, charged_units)
        request.in_flight.pop(event.attempt, None)
        if event.concluded:
            if request.in_flight and self.settings.cancel:
                self._actions += [Cancel(event.request, n) for n in request.in_flight]
            del self.pending[event.request]
            return
        if not event.outcome.never_ran:
            request.record_possible_execution(event.attempt, now - event.elapsed_ms)
        # If a later hedged attempt is in flight, the request waits for that one.
        if not request.in_flight or event.attempt == request.last_attempt:
            self._retry_or_conclude(now, request)

    def _observe_attempt(self, now: float, event: events.AttemptEnded) -> None:
        backend = self.endpoints.backends.get(event.backend)
        if backend is not None:
            attempt = backend.remove_attempt(event.request, event.attempt)
            self.estimate.apply_load_report(now, backend, event.report)
            if attempt is not None:
                self.estimate.observe_attempt(now, backend, event, attempt)

    def _retry_or_conclude(
        self, now: float, request: PendingRequest, threshold: float = inf
    ) -> None:
        """Send another attempt if one is permitted; otherwise conclude if none is in flight."""
        reason = self.retries.retry_denial_reason(now, request)
        if reason is None:
            backend = self.load_balancer.choose(now, request, threshold)
            if backend is not None:
                self.retries.retry_tokens -= 1
                send_reason = SendReason.HEDGE if request.in_flight else SendReason.RETRY
                self._send(now, request, backend, send_reason)
                return
            reason = DenialReason.NO_BACKEND
        if request.in_flight:
            return  # one of these attempts may still succeed
        self._reject_or_fail(now, request, reason)

    def _reject_or_fail(self, now: float, request: PendingRequest, reason: DenialReason) -> None:
        """Conclude a request that is not served: reject it if a retry is safe, or fail it."""
        if self.retries.permits_rejection(request):
            self._reject(now, request, reason)
        else:
            self._conclude(request, Fail(request.event.request, reason))
