"""A customer's token bucket, its share of the plan's quota, and the table of customers."""

from dataclasses import InitVar, dataclass, field
from math import inf
from random import Random

from sumacpost.model import Plan, RequestArrived, Settings
from sumacpost.policy.return_queue import ReturnQueue

SHARE_GROWTH = 1.5  # factor by which an exhausted share grows
SHARE_DECREASE = 0.5  # fraction of its growth that the share of an over-used quota loses
SHARE_INTERVAL_MS = 1000.0  # shortest time between two changes of a share
# Fraction of the burst above which the shared balance is enough for all gateways.
AMPLE_BALANCE_FRACTION = 0.9
LOW_BALANCE_FRACTION = 0.25  # fraction of the burst; the quota is over-used if less is left
# Refill assumed for the balance between counter calls, as a fraction of the plan's rate; it is
# multiplied by the counter call rate.
ASSUMED_REFILL_FRACTION = 0.15
RETRY_RESERVE_FRACTION = 0.1  # fraction of the share's burst reserved for marked retries
# A marked retry that is this late is not expected any more: its place in the return queue is freed.
NO_SHOW_MS = 2000.0
# Use is reported to the counter in batches of this fraction of the burst.
REPORT_BATCH_FRACTION = 0.08
# Customers without requests expire after this, or once their buckets are full if that takes longer.
EXPIRY_MS = 20_000.0
EXPIRIES_PER_REQUEST = 2  # more than the one customer that a request can add
DEFAULT_MAX_CUSTOMERS = 1 << 18  # more than all customers of the largest planned fleet
# A total in the counter of fewer units than this means that its name is new or was lost.
MAX_FRESH_TOTAL = 0.01


@dataclass(slots=True, eq=False)
class CustomerQuota:
    """One customer's quota at this gateway, and the return queue of its rejected clients.

    Times are in ms.

    Attributes:
        plan: the customer's plan.
        gateway_spread: the number of gateways that get the customer's requests.
        refilled_at: the time up to which bucket and ceiling are refilled.
        number: the number of the customer.
        unreported_units: units used and not reported to the counter; negative: reported, not used.
        unknown_until: the time up to which the units used of the ceiling are unknown, such as the
            start of this gateway. The ceiling of a new customer fills from then on.
        initial_share: an even share of the quota.
        quota_share: the fraction of the plan's quota that this gateway may use.
        tokens: units in the bucket.
        ceiling_tokens: units left of this gateway's part of the ceiling.
        shared_balance: units left of the whole quota, by the counter's last reply.
        balance_observed_at: the time of the reply that shared_balance is from.
        adjusted_at: the time at which the share was last adjusted.
        exhausted: whether bucket or ceiling has lacked units since adjusted_at.
        return_queue: the return queue of the customer's rejected clients.
    """

    plan: Plan
    gateway_spread: InitVar[int]
    refilled_at: float
    number: int = 0
    unreported_units: float = 0.0
    unknown_until: InitVar[float] = inf
    initial_share: float = field(init=False)
    quota_share: float = field(init=False)
    tokens: float = field(init=False)
    ceiling_tokens: float = field(init=False)
    shared_balance: float = field(init=False)
    balance_observed_at: float = -inf
    adjusted_at: float = field(init=False)
    exhausted: bool = False
    return_queue: ReturnQueue = field(init=False)

    def __post_init__(self, gateway_spread: int, unknown_until: float) -> None:
        plan = self.plan
        self.initial_share = 1 / gateway_spread
        self.quota_share = self.initial_share
        self.tokens = plan.burst * self.initial_share
        unspent_s = max(0.0, self.refilled_at - unknown_until) / 1000
        ceiling_tokens = min(plan.ceiling_burst, unspent_s * plan.ceiling_rate)
        self.ceiling_tokens = ceiling_tokens * self.initial_share
        self.shared_balance = plan.burst
        self.adjusted_at = self.refilled_at
        self.return_queue = ReturnQueue(self.refilled_at)

    def refill(self, now: float) -> None:
        """Refill the bucket and the ceiling for the time since the last refill."""
        elapsed_s = (now - self.refilled_at) / 1000
        self.refilled_at = now
        plan = self.plan
        share = self.quota_share
        self.tokens = min(plan.burst * share, self.tokens + elapsed_s * plan.rate * share)
        share = self.initial_share
        ceiling_tokens = self.ceiling_tokens + elapsed_s * plan.ceiling_rate * share
        self.ceiling_tokens = min(plan.ceiling_burst * share, ceiling_tokens)

    def ceiling_permits(self, units: float) -> bool:
        """Return whether the plan's ceiling, which no request may exceed, permits these units."""
        return not self.plan.ceiling_rate or self.ceiling_tokens >= units

    def has_tokens(self, units: float, keep_reserve: bool) -> bool:
        """Return whether the bucket covers these units.

        keep_reserve: whether the reserve for marked retries has to remain in the bucket.
        """
        plan = self.plan
        reserve = RETRY_RESERVE_FRACTION * plan.burst * self.quota_share if keep_reserve else 0.0
        return not plan.rate or self.tokens - reserve >= units

    def schedule_return(self, now: float, units: float, no_show_ms: float) -> float:
        """Queue the return of a rejected client; return the time in ms until then."""
        fill_rate = self.plan.rate * self.quota_share
        return self.return_queue.schedule(now, units, fill_rate, no_show_ms)

    def settle_units(self, actual_units: float, charged_units: float) -> None:
        """Replace the units charged for an answered request by the units that it used."""
        self.return_queue.record_units(actual_units)
        self.tokens -= actual_units - charged_units
        self.unreported_units += actual_units - charged_units

    def adjust_share(self, now: float, over_quota: bool) -> None:
        """Adjust the share, at most once in SHARE_INTERVAL_MS.

        The share of a customer over its quota falls towards the even share; an exhausted share
        grows while the shared balance is ample.
        """
        if now - self.adjusted_at < SHARE_INTERVAL_MS:
            return
        if over_quota:
            grown = self.quota_share - self.initial_share
            self.quota_share = max(self.initial_share, self.quota_share - grown * SHARE_DECREASE)
        elif self.exhausted and self.shared_balance > AMPLE_BALANCE_FRACTION * self.plan.burst:
            self.quota_share = min(1.0, self.quota_share * SHARE_GROWTH)
        self.adjusted_at = now
        self.exhausted = False

    def admission_probability(self, now: float, counter_call_rate: float) -> float:
        """Return the probability that the shared balance covers units beyond the bucket."""
        refill_s = (
            ASSUMED_REFILL_FRACTION * counter_call_rate * (now - self.balance_observed_at) / 1000
        )
        estimated_balance = self.shared_balance + refill_s * self.plan.rate
        return estimated_balance / (AMPLE_BALANCE_FRACTION * self.plan.burst)

    def apply_counter_total(
        self, now: float, previous_total: float, reported_units: float, age_ms: float
    ) -> float:
        """Update the shared balance from a counter reply.

        previous_total: the total of the counter's name before this call.
        reported_units: the units of use that the call added.
        age_ms: how long the name has been in use.

        Return the shortfall of the name's total: the units by which its balance exceeds the limit.
        """
        plan = self.plan
        balance = plan.burst - previous_total + age_ms / 1000 * plan.rate
        max_balance = plan.burst
        if previous_total < MAX_FRESH_TOTAL:
            # For a new or lost name the limit is the previous balance, refilled since then.
            elapsed_s = (now - self.balance_observed_at) / 1000
            max_balance = min(max_balance, self.shared_balance + elapsed_s * plan.rate)
        self.shared_balance = min(max_balance, balance) - reported_units
        self.balance_observed_at = now
        is_ample = self.shared_balance > AMPLE_BALANCE_FRACTION * plan.burst
        own_share = self.shared_balance * self.quota_share if is_ample else 0.0
        tokens = max(own_share, min(self.tokens, self.shared_balance))
        self.tokens = tokens - max(0.0, self.unreported_units)
        self.adjust_share(now, self.shared_balance < LOW_BALANCE_FRACTION * plan.burst)
        return max(0.0, balance - max_balance)


class CustomerTable:
    """The customers with recent requests. Others are dropped, as a new entry is equivalent.

    At most `max_customers` are kept. Beyond that the one longest without requests is dropped even
    if its entry is not equivalent to a new one: clients can make up any number of customers. So a
    customer that is not in the table may have been dropped, and may have used its ceiling up to
    `forgotten_until`: its ceiling fills from then on, so that no more is permitted than if it had
    been kept.

    Attributes:
        by_number: the customers, longest without requests first.
        forgotten_until: up to when a customer may have used its ceiling that was dropped before its
            entry was equivalent to a new one, in ms.
    """

    def __init__(
        self, settings: Settings, random: Random, max_customers: int = DEFAULT_MAX_CUSTOMERS
    ) -> None:
        self.by_number: dict[int, CustomerQuota] = {}
        self.forgotten_until = -inf
        self._settings = settings
        self._random = random
        self._max_customers = max_customers
        self._expiry_ms = max([EXPIRY_MS, *map(_fill_time_ms, settings.plans)])

    def get_or_create(
        self, now: float, event: RequestArrived, gateway_started_at: float
    ) -> CustomerQuota:
        """Return the customer of a request, with refilled buckets, and drop expired customers."""
        customer = self.by_number.pop(event.customer, None)
        if customer is None:
            plan = self._settings.plans[event.plan]
            spread = max(1, min(event.gateway_spread, self._settings.gateways))
            # A random initial value makes reports in whole batches correct on average.
            unreported = -self._random.random() * REPORT_BATCH_FRACTION * plan.burst
            unknown_until = max(gateway_started_at, self.forgotten_until)
            customer = CustomerQuota(plan, spread, now, event.customer, unreported, unknown_until)
        self.by_number[event.customer] = customer
        customer.refill(now)
        for _ in range(EXPIRIES_PER_REQUEST):
            number, longest_unseen = next(iter(self.by_number.items()))
            if now - longest_unseen.refilled_at > self._expiry_ms:
                del self.by_number[number]
            elif len(self.by_number) > self._max_customers:
                del self.by_number[number]
                self.forgotten_until = max(self.forgotten_until, longest_unseen.refilled_at)
        return customer


def _fill_time_ms(plan: Plan) -> float:
    """Return the time in which both buckets of a plan fill up, in ms."""
    buckets = ((plan.burst, plan.rate), (plan.ceiling_burst, plan.ceiling_rate))
    return max((1000 * burst / rate for burst, rate in buckets if rate), default=0.0)
