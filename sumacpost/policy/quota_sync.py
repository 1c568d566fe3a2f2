"""What is added to the shared counter, learnt from it, and how often it is called."""

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

NAME_TTL_MS = 60_000.0  # the longest life of a counter's name
MAX_DRIFT_FRACTION = 0.5  # of the burst: a name this far off is corrected by a call of its own
FULL_CALL_RATE = 0.4  # a lower call rate leaves calls out by chance
INITIAL_CALL_RATE = 0.5
MIN_CALL_RATE = 0.01
CALL_RATE_DECREASE = 0.7  # factor for a reply that is late or missing
CALL_RATE_INCREASE = 0.04  # added for a prompt reply
MIN_RETURN_CALL_RATE = 0.9  # below it nothing is returned to an empty balance
LATE_REPLY_FRACTION = 0.8  # of the counter's time-out: a reply this slow is a sign of congestion
HASH_FACTOR = 2654435761  # Knuth's, for the moments at which customers change their names


class Grant(Enum):
    """What lets a request pass the quota, and so where its units are still to be counted."""

    BUCKET = auto()  # the customer's bucket here
    BEYOND_QUOTA = auto()  # the plan, which pays for more than the quota
    COUNTER = auto()  # the shared counter, to which its units are added already
    COUNTER_NOT_APPLIED = auto()  # the last known balance: the counter has not applied its call


@dataclass(slots=True)
class CounterCall:
    """A call to the counter, and what its reply means once that is there."""

    customer: CustomerQuota
    reported_units: float  # units reported, those of the request held for it among them
    correction: float  # units added to put the name's total right
    request: PendingRequest | None  # held for the reply
    grant: Grant | None = None  # what lets the request pass; None: it is to be rejected
    surplus: float | None = None  # units by which the name's total is wrong, if that is known


class CounterName(NamedTuple):
    """The name of a customer's number in the counter, and how long it has been in use."""

    number: int
    age_ms: float


class QuotaSync:
    """Shares quotas through the counter; where that is lost, the last known balance decides."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.enabled = settings.counter and not settings.meter_ms
        self.counter_call_rate = INITIAL_CALL_RATE
        self.pending_calls: dict[int, deque[CounterCall]] = {}  # by name, in the order of the calls
        self._settings = settings
        self._random = random
        self._congested_at = -inf  # the last sign of a congested counter

    def current_name(self, now: float, customer: CustomerQuota) -> CounterName:
        """Return a customer's present name; customers change theirs at different moments."""
        offset_ms = customer.number * HASH_FACTOR % 2**32 / 2**32 * NAME_TTL_MS
        period, age_ms = divmod(now + offset_ms, NAME_TTL_MS)
        return CounterName(int(period) << 33 | customer.number, age_ms)

    def draw_admission(self, now: float, customer: CustomerQuota) -> bool:
        """Draw whether units beyond the bucket are taken to be in the shared balance."""
        probability = customer.admission_probability(now, self.counter_call_rate)
        return self._random.random() < probability

    def should_ask_counter(self, now: float, request: PendingRequest) -> bool:
        """Return whether a request is to be held while the counter is asked for its units."""
        if not self.enabled or not self._draw_call():
            return False
        settings = self._settings
        reply_due_at = now + settings.counter_timeout_ms + 2 * settings.tick_ms
        has_usage = request.customer.unreported_units + request.event.units > 0
        return has_usage and reply_due_at < request.deadline

    def report_usage(
        self, now: float, customer: CustomerQuota, request: PendingRequest | None = None
    ) -> Actions:
        """Report use, that of a held request included, or return what was not used, in batches."""
        report_batch = REPORT_BATCH_FRACTION * customer.plan.burst
        if not self.enabled or not report_batch:
            return []
        units = ceil(customer.unreported_units / report_batch) * report_batch
        congested = self.counter_call_rate < MIN_RETURN_CALL_RATE
        if units < 0 and customer.shared_balance <= 0 and congested:
            return []  # kept for the next use: returns for rejected requests would congest it
        if not units or (request is None and not self._draw_call()):
            return []
        customer.unreported_units -= units
        return [self._call(now, CounterCall(customer, units, 0.0, request))]

    def apply_reply(
        self, now: float, event: CounterReplied, pending: Container[int]
    ) -> CounterCall | None:
        """Learn from a reply and return its call, if any; pending: the requests that still wait.

        report_after_reply is to follow once the request held for it is sent or rejected.
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
            self._apply_failure(call, event.outcome)
        if not is_waiting:
            call.request = None
        return call

    def report_after_reply(self, now: float, call: CounterCall) -> Actions:
        """Report what the reply has left to report, and put the name's total right."""
        customer = call.customer
        if call.surplus is None:
            return []
        actions = self.report_usage(now, customer) if customer.unreported_units <= 0 else []
        if abs(call.surplus) > MAX_DRIFT_FRACTION * customer.plan.burst:
            # of two gateways that correct it at once the later takes its correction back
            reported_units = min(call.surplus, 0.0)
            correction = max(call.surplus, 0.0)
            actions.append(self._call(now, CounterCall(customer, reported_units, correction, None)))
        return actions

    def _call(self, now: float, call: CounterCall) -> AddToCounter:
        name = self.current_name(now, call.customer).number
        self.pending_calls.setdefault(name, deque()).append(call)
        return AddToCounter(name, call.reported_units + call.correction, NAME_TTL_MS)

    def _draw_call(self) -> bool:
        return self._random.random() * FULL_CALL_RATE < self.counter_call_rate

    def _adjust_call_rate(self, now: float, event: CounterReplied) -> None:
        """Call a counter more often that replies promptly, and one less often that does not."""
        late_ms = LATE_REPLY_FRACTION * self._settings.counter_timeout_ms
        if event.outcome is Outcome.OK and event.elapsed_ms < late_ms:
            self.counter_call_rate = min(1.0, self.counter_call_rate + CALL_RATE_INCREASE)
            return
        if event.outcome is Outcome.RESET and now - event.elapsed_ms < self._congested_at:
            return  # calls lost with one connection are one sign of congestion
        self.counter_call_rate = max(MIN_CALL_RATE, self.counter_call_rate * CALL_RATE_DECREASE)
        self._congested_at = now

    def _apply_failure(self, call: CounterCall, outcome: Outcome) -> None:
        # a call whose connection was lost was most likely never read; one timed out is under way
        not_applied = outcome.never_ran or outcome is Outcome.RESET
        call.grant = Grant.COUNTER_NOT_APPLIED if not_applied else Grant.COUNTER
        if not_applied:
            held_units = call.request.event.units if call.request is not None else 0.0
            call.customer.unreported_units += call.reported_units - held_units

    def _apply_total(
        self, now: float, call: CounterCall, total: float, age_ms: float, is_waiting: bool
    ) -> None:
        customer = call.customer
        request = call.request
        reported_units = call.reported_units
        customer.refill(now)
        previous_total = total - reported_units - call.correction
        call.surplus = (
            customer.apply_counter_total(now, previous_total, reported_units, age_ms)
            - call.correction
        )
        balance = customer.shared_balance
        if request is not None and is_waiting and balance + reported_units >= request.event.units:
            call.grant = Grant.COUNTER
        # what is beyond the quota takes nothing from the balance, so it is returned
        beyond_quota = min(max(reported_units, 0.0), max(0.0, -balance))
        if request is not None and call.grant is None:
            beyond_quota = reported_units
        customer.unreported_units -= beyond_quota
        customer.shared_balance += beyond_quota
