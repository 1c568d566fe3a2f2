"""Sharing of quotas through the counter: reports of use, replies, and the rate of calls."""

from collections import deque
from collections.abc import Container
from dataclasses import dataclass
from enum import Enum, auto
from math import ceil, inf
from random import Random
from typing import NamedTuple

from sumacpost.model import Actions, AddToCounter, CounterReplied, Outcome, Settings
from sumacpost.policy.pending_request import PendingRequest
from sumacpost.policy.quota import REPORT_BATCH_FRACTION, CustomerQuota

NAME_TTL_MS = 60_000.0  # period of use and time to live of a name in the counter
# A total that is wrong by more than this fraction of the burst is corrected by a separate call.
MAX_DRIFT_FRACTION = 0.5
# Call rates are numbers from MIN_CALL_RATE to 1, not calls per second. Below this rate, calls are
# left out at random.
FULL_CALL_RATE = 0.4
INITIAL_CALL_RATE = 0.5
MIN_CALL_RATE = 0.01
CALL_RATE_DECREASE = 0.7  # factor applied to the call rate for a late or missing reply
CALL_RATE_INCREASE = 0.04  # added to the call rate for a prompt reply
MIN_RETURN_CALL_RATE = 0.9  # below this call rate, no units are returned to an empty balance
LATE_REPLY_FRACTION = 0.8  # a reply slower than this fraction of the timeout shows congestion
HASH_FACTOR = 2654435761  # Knuth's multiplicative hash; spreads the times of name changes


class Grant(Enum):
    """Why a request passes the quota; this decides where its units still have to be counted."""

    BUCKET = auto()  # without the counter; its units are taken from the bucket at this gateway
    BEYOND_QUOTA = auto()  # the plan permits requests beyond the quota
    COUNTER = auto()  # the shared counter has added its units, or may have added them
    COUNTER_NOT_APPLIED = auto()  # by the last known balance; the counter has not added its units


@dataclass(slots=True)
class CounterCall:
    """A call to the counter, and the result of its reply.

    Attributes:
        customer: the customer whose quota is reported.
        reported_units: units of use in the call, with those of the request that waits for the
            reply.
        correction: units added to correct the name's total.
        request: the request that waits for the reply, if any.
        grant: after the reply, why the request passes the quota; None: it is rejected.
        total_shortfall: after the reply, the units that the name's total lacks, so that the balance
            calculated from it is too high; negative: the total is too high; None: unknown.
    """

    customer: CustomerQuota
    reported_units: float
    correction: float
    request: PendingRequest | None
    grant: Grant | None = None
    total_shortfall: float | None = None


class CounterName(NamedTuple):
    """The name of a customer's total in the counter, and how long it has been in use."""

    number: int
    age_ms: float


class QuotaSync:
    """Shares quotas through the counter; without it the last known balance decides."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.enabled = settings.counter and not settings.meter_ms
        self.counter_call_rate = INITIAL_CALL_RATE
        self.pending_calls: dict[int, deque[CounterCall]] = {}  # by name, oldest first
        self._settings = settings
        self._random = random
        self._congested_at = -inf  # time of the last sign of congestion

    def current_name(self, now: float, customer: CustomerQuota) -> CounterName:
        """Return a customer's current name in the counter.

        Names change once in NAME_TTL_MS, at different times for different customers.
        """
        offset_ms = customer.number * HASH_FACTOR % 2**32 / 2**32 * NAME_TTL_MS
        period, age_ms = divmod(now + offset_ms, NAME_TTL_MS)
        return CounterName(int(period) << 33 | customer.number, age_ms)

    def draw_admission(self, now: float, customer: CustomerQuota) -> bool:
        """Draw whether the shared balance is assumed to cover units beyond the bucket."""
        probability = customer.admission_probability(now, self.counter_call_rate)
        return self._random.random() < probability

    def should_ask_counter(self, now: float, request: PendingRequest) -> bool:
        """Return whether a request should wait until the counter has been asked for its units."""
        if not self.enabled or not self._draw_call():
            return False
        settings = self._settings
        reply_due_at = now + settings.counter_timeout_ms + 2 * settings.tick_ms
        has_usage = request.customer.unreported_units + request.event.units > 0
        return has_usage and reply_due_at < request.deadline

    def report_usage(
        self, now: float, customer: CustomerQuota, request: PendingRequest | None = None
    ) -> Actions:
        """Report use to the counter, or return unused units, in whole batches.

        request: a request that waits for the reply; its units are included in the report.
        """
        report_batch = REPORT_BATCH_FRACTION * customer.plan.burst
        if not self.enabled or not report_batch:
            return []
        units = ceil(customer.unreported_units / report_batch) * report_batch
        congested = self.counter_call_rate < MIN_RETURN_CALL_RATE
        if units < 0 and customer.shared_balance <= 0 and congested:
            return []  # kept for later use: returns for rejected requests would cause congestion
        if not units or (request is None and not self._draw_call()):
            return []
        customer.unreported_units -= units
        return [self._call(now, CounterCall(customer, units, 0.0, request))]

    def apply_reply(
        self, now: float, event: CounterReplied, pending: Container[int]
    ) -> CounterCall | None:
        """Update quota and call rate from a reply; return its call, or None if it is unknown.

        pending: the numbers of requests without a final response. The caller sends or rejects the
        request that waits for the reply, then calls report_after_reply.
        """
        calls = self.pending_calls.get(event.name)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del self.pending_calls[event.name]
        self._adjust_call_rate(now, event)
        is_waiting = call.request is not None and call.request.event.request in pending
        name = self.current_name(now, call.customer)
        if event.outcome is Outcome.OK and name.number == event.name:
            self._apply_total(now, call, event.total, name.age_ms, is_waiting)
        else:
            self._apply_failure(call, event.outcome, is_waiting)
        if not is_waiting:
            call.request = None
        return call

    def report_after_reply(self, now: float, call: CounterCall) -> Actions:
        """Return unused units to the counter after its reply, and correct the name's total."""
        customer = call.customer
        if call.total_shortfall is None:
            return []
        actions = self.report_usage(now, customer) if customer.unreported_units <= 0 else []
        if abs(call.total_shortfall) > MAX_DRIFT_FRACTION * customer.plan.burst:
            # If two gateways correct a total at the same time, the later one undoes its correction.
            reported_units = min(call.total_shortfall, 0.0)
            correction = max(call.total_shortfall, 0.0)
            actions.append(self._call(now, CounterCall(customer, reported_units, correction, None)))
        return actions

    def _call(self, now: float, call: CounterCall) -> AddToCounter:
        name = self.current_name(now, call.customer).number
        self.pending_calls.setdefault(name, deque()).append(call)
        return AddToCounter(name, call.reported_units + call.correction, NAME_TTL_MS)

    def _draw_call(self) -> bool:
        return self._random.random() * FULL_CALL_RATE < self.counter_call_rate

    def _adjust_call_rate(self, now: float, event: CounterReplied) -> None:
        """Raise the call rate for a prompt reply, and lower it for a late or missing one."""
        late_ms = LATE_REPLY_FRACTION * self._settings.counter_timeout_ms
        if event.outcome is Outcome.OK and event.elapsed_ms < late_ms:
            self.counter_call_rate = min(1.0, self.counter_call_rate + CALL_RATE_INCREASE)
            return
        if event.outcome is Outcome.RESET and now - event.elapsed_ms < self._congested_at:
            return  # all calls lost with one connection are a single sign of congestion
        self.counter_call_rate = max(MIN_CALL_RATE, self.counter_call_rate * CALL_RATE_DECREASE)
        self._congested_at = now

    def _apply_failure(self, call: CounterCall, outcome: Outcome, is_waiting: bool) -> None:
        """Report the units again if they were surely not added.

        The counter may have added, or may still add, those of a call that has timed out or was lost
        with its connection: reported again, they could be counted twice. They are returned if they
        were for a request that does not wait any more.
        """
        call.grant = Grant.COUNTER_NOT_APPLIED if outcome.never_ran else Grant.COUNTER
        request_units = call.request.event.units if call.request is not None else 0.0
        if outcome.never_ran:
            call.customer.unreported_units += call.reported_units - request_units
        elif not is_waiting:
            call.customer.unreported_units -= request_units

    def _apply_total(
        self, now: float, call: CounterCall, total: float, age_ms: float, is_waiting: bool
    ) -> None:
        customer = call.customer
        request = call.request
        reported_units = call.reported_units
        customer.refill(now)
        previous_total = total - reported_units - call.correction
        call.total_shortfall = (
            customer.apply_counter_total(now, previous_total, reported_units, age_ms)
            - call.correction
        )
        balance = customer.shared_balance
        if request is not None and is_waiting and balance + reported_units >= request.event.units:
            call.grant = Grant.COUNTER
        # Units beyond the quota are not taken from the balance, so they are returned.
        beyond_quota = min(max(reported_units, 0.0), max(0.0, -balance))
        if request is not None and call.grant is None:
            beyond_quota = reported_units
        customer.unreported_units -= beyond_quota
        customer.shared_balance += beyond_quota
