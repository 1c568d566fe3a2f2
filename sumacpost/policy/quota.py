"""A customer's token bucket and its share of the plan's quota, and the table of customers."""

from dataclasses import InitVar, dataclass, field
from math import inf
from random import Random

from sumacpost.model import Plan, RequestArrived, Settings
from sumacpost.policy.return_queue import ReturnQueue

SHARE_GROWTH = 1.5  # factor by which an exhausted share grows
SHARE_DECREASE = 0.5  # part of its growth that the share of an over-used quota loses
SHARE_INTERVAL_MS = 1000.0  # between two changes of a share
AMPLE_BALANCE_FRACTION = 0.9  # of the burst: a shared balance above it has capacity for all
LOW_BALANCE_FRACTION = 0.25  # of the burst: a shared balance below it is over-used
ASSUMED_REFILL_FRACTION = (
    0.15  # of the rate: how fast a balance is believed to refill between calls
)
RETRY_RESERVE_FRACTION = 0.1  # of the share's burst: what only marked retries may take
NO_SHOW_MS = 2000.0  # a marked retry this late has given up and frees its place in the queue
REPORT_BATCH_FRACTION = 0.08  # of the burst: use is reported to the counter in such batches
EXPIRY_MS = 20_000.0  # an unseen customer expires after this, or once its buckets can be full
EXPIRIES_PER_REQUEST = 2  # more than can have come since
MAX_FRESH_TOTAL = 0.01  # a counter's total below it is that of a fresh or lost name


@dataclass(slots=True, eq=False)
class CustomerQuota:
    """One customer's share of its quota here, and the virtual queue of its rejected clients.

    gateway_started_at: the start of this gateway, which cannot know what it spent of the ceiling
        before.
    """

    plan: Plan
    gateway_spread: InitVar[int]
    refilled_at: float  # up to when bucket and ceiling are filled
    number: int = 0
    unreported_units: float = 0.0  # negative: reported, but not used
    gateway_started_at: InitVar[float] = inf
    initial_share: float = field(init=False)
    quota_share: float = field(init=False)
    tokens: float = field(init=False)
    ceiling_tokens: float = field(init=False)
    shared_balance: float = field(init=False)  # as the counter's last reply showed it
    balance_observed_at: float = -inf
    adjusted_at: float = field(init=False)
    exhausted: bool = False  # since the share was last adjusted
    return_queue: ReturnQueue = field(init=False)

    def __post_init__(self, gateway_spread: int, gateway_started_at: float) -> None:
        plan = self.plan
        self.initial_share = 1 / gateway_spread
        self.quota_share = self.initial_share
        self.tokens = plan.burst * self.initial_share
        unspent_s = max(0.0, self.refilled_at - gateway_started_at) / 1000
        ceiling_tokens = min(plan.ceiling_burst, unspent_s * plan.ceiling_rate)
        self.ceiling_tokens = ceiling_tokens * self.initial_share
        self.shared_balance = plan.burst
        self.adjusted_at = self.refilled_at
        self.return_queue = ReturnQueue(self.refilled_at)

    def refill(self, now: float) -> None:
        """Fill the bucket and the ceiling for the time gone by."""
        elapsed_s = (now - self.refilled_at) / 1000
        self.refilled_at = now
        plan = self.plan
        share = self.quota_share
        self.tokens = min(plan.burst * share, self.tokens + elapsed_s * plan.rate * share)
        share = self.initial_share
        ceiling_tokens = self.ceiling_tokens + elapsed_s * plan.ceiling_rate * share
        self.ceiling_tokens = min(plan.ceiling_burst * share, ceiling_tokens)

    def ceiling_permits(self, units: float) -> bool:
        """Return whether the plan's ceiling, which nothing may pass, leaves so many units."""
        return not self.plan.ceiling_rate or self.ceiling_tokens >= units

    def has_tokens(self, units: float, keep_reserve: bool) -> bool:
        """Return whether the bucket covers so many units, beside the reserve for marked retries."""
        plan = self.plan
        reserve = RETRY_RESERVE_FRACTION * plan.burst * self.quota_share if keep_reserve else 0.0
        return not plan.rate or self.tokens - reserve >= units

    def schedule_return(self, now: float, units: float, no_show_ms: float) -> float:
        """Return for how many milliseconds a rejected client is to stay away."""
        fill_rate = self.plan.rate * self.quota_share
        return self.return_queue.schedule(now, units, fill_rate, no_show_ms)

    def settle_units(self, units: float, charged_units: float) -> None:
        """Settle what an answered request has used in place of what it was charged."""
        self.return_queue.record_units(units)
        self.tokens -= units - charged_units
        self.unreported_units += units - charged_units

    def adjust_share(self, now: float, over_quota: bool) -> None:
        """Let an exhausted share grow, and that of a customer over its quota fall, each second."""
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
        """Return the chance that units beyond the bucket are still in the shared balance."""
        refill_s = (
            ASSUMED_REFILL_FRACTION * counter_call_rate * (now - self.balance_observed_at) / 1000
        )
        estimated_balance = self.shared_balance + refill_s * self.plan.rate
        return estimated_balance / (AMPLE_BALANCE_FRACTION * self.plan.burst)

    def apply_counter_total(
        self, now: float, previous_total: float, reported_units: float, age_ms: float
    ) -> float:
        """Set the shared balance by a reply; return what ran over, which the name's total lacks.

        before: the name's total without this call. use: units that it added. age_ms: of the name.
        """
        plan = self.plan
        balance = plan.burst - previous_total + age_ms / 1000 * plan.rate
        max_balance = plan.burst
        if previous_total < MAX_FRESH_TOTAL:  # a fresh or lost name: what was missing still is
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
    """The customers seen lately; one long unseen is dropped, as a fresh one does as well."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.by_number: dict[int, CustomerQuota] = {}  # the longest unseen stand first
        self._settings = settings
        self._random = random
        self._expiry_ms = max([EXPIRY_MS, *map(_fill_time_ms, settings.plans)])

    def get_or_create(
        self, now: float, event: RequestArrived, gateway_started_at: float
    ) -> CustomerQuota:
        """Return the customer of a request, its buckets filled, and drop expired ones."""
        customer = self.by_number.pop(event.customer, None)
        if customer is None:
            plan = self._settings.plans[event.plan]
            spread = max(1, min(event.gateway_spread, self._settings.gateways))
            # begun at random, so that reports in whole batches are right on average
            unreported = -self._random.random() * REPORT_BATCH_FRACTION * plan.burst
            customer = CustomerQuota(
                plan, spread, now, event.customer, unreported, gateway_started_at
            )
        self.by_number[event.customer] = customer
        customer.refill(now)
        for _ in range(EXPIRIES_PER_REQUEST):
            number, longest_unseen = next(iter(self.by_number.items()))
            if now - longest_unseen.refilled_at > self._expiry_ms:
                del self.by_number[number]
        return customer


def _fill_time_ms(plan: Plan) -> float:
    """Return the longest time that a bucket of this plan takes to fill."""
    buckets = ((plan.burst, plan.rate), (plan.ceiling_burst, plan.ceiling_rate))
    return max((1000 * burst / rate for burst, rate in buckets if rate), default=0.0)
