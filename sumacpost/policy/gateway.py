"""Every decision of the gateway; its settings, events and actions are in sumacpost/model."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from math import ceil, inf
from random import Random
from typing import Any

from sumacpost.model import (
    Actions,
    AddToCounter,
    AttemptEnded,
    Cancel,
    CounterReplied,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    UpdateKind,
)
from sumacpost.policy.backend import Backend, Sent
from sumacpost.policy.latency import BLAME, LatencyInflation
from sumacpost.policy.quota import CustomerQuota
from sumacpost.policy.subsetting import (
    MAX_CANDIDATES,
    MIN_SUBSET_SIZE,
    Partition,
    Subset,
    splitmix64,
)

RESERVE = 0.1  # of the slice's burst: what only marked retries may take
NO_SHOW_MS = (
    2000.0  # a marked retry this late has given up; it would hold its place in the queue for ever
)
FORGET_MS = 20_000.0  # a customer unseen for so long is forgotten, or later if its stores take longer to fill
NAME_TTL_MS = 60_000.0  # the longest life of a counter's name
DRIFT = 0.5  # of the burst: a count this far from the store is put right by a call of its own
LUMP = 0.08  # of the burst: reported at once
CROWDED = 0.4  # calling less freely leaves calls out by chance
ASK_FIRST = 0.5  # how freely the counter is called at start
ASK_LEAST = 0.01  # and at least
ASK_LESS = 0.7  # what a late answer does to that
ASK_MORE = 0.04  # and a prompt one
ASK_FREE = 0.9  # calling less freely than so, nothing is taken back from an empty store
LATE_ANSWER = 0.8  # of the counter's time-out: an answer this slow is a sign of a crowded counter
KEEP = 0.9  # weight of the past in moving means
LEARN = 0.01  # how far an answer moves what a class takes
DREAD = 10.0  # what a bad sign moves a backend toward
LEAP = 1.5  # of what the fleet is held for: a sign counts for that and one more at most
NEWS_MS = 100.0  # without a sign from the fleet for so long, an unused backend gets a request
BROKEN = 3.0  # in place of DREAD where one connection or one spoilt answer may be to blame
OVERDUE = 4.0  # of what an attempt is expected to take: by then a second copy goes elsewhere
TIE = 1.15  # backends within this factor of the best are as good: choose at random, so that no herd forms
COLD_PART = (
    0.8  # of the work that would push over a cold backend of one core, all gateways together
)
COLD_FLEET = 0.5  # of what reports say that warm ones can do
COLD_OWN = 0.6  # and of what they say that it can: it may be half as fast
BUSY = 0.5  # an idler report tells little
LEARN_ABLE = 0.2  # how far a report moves what is told of a backend
LEARN_FLEET = 0.05  # and of the fleet
RETRY_PART = 0.1  # further attempts earned by each first try
RETRY_MOST = 10.0  # saved up at most
PATIENCE = 0.33  # of the aim: the forecast that work of most worth may meet
CHEAP_PATIENCE = 0.25  # and of no worth
SPARE_PATIENCE = 0.5  # of that: what requests beyond their quota may meet
RESOLVE = 16.0  # how sharply sends thin out past the patience
REACH_MS = 50.0  # a send arrives within this and the time that its connection may take to come up


class PendingRequest:
    """A request not yet answered: what has been tried and what may have run."""

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        customer: CustomerQuota,
        now: float,
        work: float,
    ) -> None:
        self.event, self.request_class, self.customer, self.work = (
            event,
            request_class,
            customer,
            work,
        )
        self.deadline, self.aim = (
            now + event.time_left_ms,
            now + min(request_class.latency_objective_ms, event.time_left_ms),
        )
        self.tried: list[Backend] = []
        self.out: list[int] = []  # the attempts that have not ended
        self.may_have_run = False
        self.ran_group: tuple[DeduplicationScope, int] | None = None
        self.ran_until = inf


class Gateway:
    """Decides for one gateway; hand it every event and carry out the actions it gives back."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.counting = settings.counter and not settings.meter_ms
        self.backends: dict[int, Backend] = {}
        self.customers: dict[int, CustomerQuota] = {}
        self.counts: dict[
            int, deque[tuple[CustomerQuota, float, float, PendingRequest | None]]
        ] = {}  # calls not answered
        self.calls: dict[int, PendingRequest] = {}
        self.partition = Partition(settings.gateways, settings.index)
        self.subset = Subset(settings.gateways, settings.index)
        self.groups: dict[
            tuple[DeduplicationScope, int], list[tuple[int, int]]
        ] = {}  # hash and number of the ready ones
        self.slowness = LatencyInflation()  # of the fleet as a whole
        self.asking, self.retries = ASK_FIRST, RETRY_MOST
        self.crowded_at = -inf  # the last sign of a crowded counter
        self.unit_ms = [
            request_class.latency_objective_ms / 10 for request_class in settings.classes
        ]  # time a unit takes on an idle backend
        self.mean_work = sum(self.unit_ms) / len(self.unit_ms)
        self.forget_ms = max(
            [FORGET_MS]
            + [
                1000 * full / rate
                for p in settings.plans
                for full, rate in ((p.burst, p.rate), (p.ceiling_burst, p.ceiling_rate))
                if rate
            ]
        )
        self.able = 0.0  # requests a second that a warm backend could do
        fields = settings.report_fields
        self.told = [fields.index(name) for name in ("throughput", "utilization") if name in fields]
        self.started = inf  # when the first event came
        self.actions: Actions = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self.arrived,
            AttemptEnded: self.ended,
            CounterReplied: self.count_answered,
            EndpointListUpdate: self.fleet,
            RequestCancelled: self.withdrawn,
            TimerFired: self.overdue,
        }

    def handle(self, now: float, event: Event) -> Actions:
        """Take in one event; the actions are to be carried out in order."""
        self.actions, self.started = [], min(self.started, now)
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        return self.actions

    def withdrawn(self, now: float, event: RequestCancelled | AttemptEnded) -> None:
        self.calls.pop(event.request, None)

    # ---- quotas: the ordinary path

    def customer(self, now: float, event: RequestArrived) -> CustomerQuota:
        """The customer of a request; one long unseen is dropped: a fresh one does as well."""
        known = self.customers.pop(event.customer, None)
        if known is None:
            plan, width = (
                self.settings.plans[event.plan],
                max(1, min(event.gateway_spread, self.settings.gateways)),
            )
            debt = (
                -self.random.random() * LUMP * plan.burst
            )  # so that rare reports are right on average
            known = CustomerQuota(plan, width, now, event.customer, debt, self.started)
        self.customers[event.customer] = known  # the longest unseen stand first
        known.refill(now)
        for _ in range(2):  # more than can have come
            first, oldest = next(iter(self.customers.items()))
            if now - oldest.filled_at > self.forget_ms:
                del self.customers[first]
        return known

    def arrived(self, now: float, event: RequestArrived) -> None:
        """The bucket decides; what it cannot tell is asked, what it refuses gets a return time."""
        customer, marks = self.customer(now, event), self.settings.clients_mark_retries
        plan, work = customer.plan, self.unit_ms[event.request_class] * max(event.units, 0.01)
        call = self.calls[event.request] = PendingRequest(
            event, self.settings.classes[event.request_class], customer, now, work
        )
        if event.retry and marks and customer.appointments:
            customer.appointments.popleft()
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        room = not plan.ceiling_rate or customer.cap_tokens >= event.units
        kept = RESERVE * plan.burst * customer.share if marks and not event.retry else 0.0
        if room and (not plan.rate or customer.tokens - kept >= event.units):
            return self.admit(now, call, True)
        customer.dry = True
        if room and plan.over_quota_weight > plan.over_quota_cost:
            return self.admit(now, call, plan.burst * customer.share < event.units)
        if not room or self.random.random() >= customer.room(now, self.asking):
            return self.refuse(now, call)  # told to be empty
        answered_by = now + self.settings.counter_timeout_ms + 2 * self.settings.tick_ms
        free = self.counting and self.random.random() * CROWDED < self.asking
        if free and customer.debt + event.units > 0 and answered_by < call.deadline:
            if self.choose(now, call, self.patience(event.request_class)) is None:
                return self.refuse(now, call)  # no call for it, and none to take it back
            customer.debt += event.units  # hold the try and ask for its units, one try a lump
            return self.settle(now, customer, call)
        if self.counting or customer.tokens >= plan.burst * customer.share:
            return self.admit(
                now, call, True
            )  # a full bucket does, or a large request never would pass
        self.refuse(now, call)

    def admit(
        self,
        now: float,
        call: PendingRequest,
        inside: bool,
        counted: bool = False,
        held: bool = False,
    ) -> None:
        """Send what the quota lets pass, unless the fleet is pressed: a held try was held as it was not."""
        event, customer = call.event, call.customer
        patience = (
            inf
            if held
            else self.patience(event.request_class) * (1.0 if inside else SPARE_PATIENCE)
        )
        backend = self.choose(now, call, patience)
        if backend is None:
            customer.debt -= event.units if counted else 0.0
            return self.refuse(now, call)
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        if inside and not counted:
            customer.tokens -= event.units
            customer.debt += event.units
            self.settle(now, customer)
        self.send(now, call, backend)

    def refuse(self, now: float, call: PendingRequest) -> None:
        """Final answer: the client is told when to come back."""
        wait = call.customer.return_time(
            now, call.event.units, NO_SHOW_MS * self.settings.clients_mark_retries
        )
        self.actions.append(Reject(call.event.request, wait * self.settings.retry_after))
        self.calls.pop(call.event.request, None)

    # ---- what the counter knows of a customer

    def settle(
        self, now: float, customer: CustomerQuota, call: PendingRequest | None = None
    ) -> None:
        """Report own use, or take back what was counted in vain, in whole lumps."""
        lump = LUMP * customer.plan.burst
        lumps = ceil(customer.debt / lump) * lump if lump and self.counting else 0.0
        if lumps < 0 and customer.store <= 0 and self.asking < ASK_FREE:
            return  # kept for the next use here: refused tries would fill the line with take-backs
        if lumps and (call or self.random.random() * CROWDED < self.asking):
            customer.debt -= lumps
            self.count(customer, now, lumps, 0.0, call)

    def count(
        self,
        customer: CustomerQuota,
        now: float,
        use: float,
        drift: float,
        call: PendingRequest | None,
    ) -> None:
        """Call the counter: for use (a held try's units among it), or to put the name right by drift."""
        name, _ = self.name(now, customer)
        self.counts.setdefault(name, deque()).append((customer, use, drift, call))
        self.actions.append(AddToCounter(name, use + drift, NAME_TTL_MS))

    def name(self, now: float, customer: CustomerQuota) -> tuple[int, float]:
        """The customer's name of this minute and its age; customers change theirs at different moments."""
        turn, age = divmod(
            now + customer.number * 2654435761 % 2**32 / 2**32 * NAME_TTL_MS, NAME_TTL_MS
        )
        return int(turn) << 33 | customer.number, age

    def count_answered(self, now: float, event: CounterReplied) -> None:
        """Guards against a slow, full or lost counter: never add twice, ask less, hold what was told."""
        if not (asked := self.counts.get(event.name)):
            return
        customer, use, drift, call = asked.popleft()
        if not asked:
            del self.counts[event.name]
        answered = event.outcome is Outcome.OK
        prompt = answered and event.elapsed_ms < LATE_ANSWER * self.settings.counter_timeout_ms
        if prompt:
            self.asking = min(1.0, self.asking + ASK_MORE)
        elif event.outcome is not Outcome.RESET or now - event.elapsed_ms >= self.crowded_at:
            # calls lost with one connection are one sign, not many of a crowded counter
            self.asking, self.crowded_at = max(ASK_LEAST, self.asking * ASK_LESS), now
        # a call whose connection was lost was most likely never read; one that timed out is in the line
        vain = event.outcome.never_ran or event.outcome is Outcome.RESET
        held = call if call and call.event.request in self.calls else None
        name, age = self.name(now, customer)
        if not answered or name != event.name:
            if vain:
                customer.debt += use - (call.event.units if call else 0.0)
            if held:
                self.admit(now, held, True, not vain, True)
            return
        customer.refill(now)
        gain = customer.told(now, event.total - use - drift, use, age) - drift
        granted = held is not None and customer.store + use >= held.event.units
        # what is beyond the quota takes nothing from the store, so it is given back
        beyond = use if call and not granted else min(max(use, 0.0), max(0.0, -customer.store))
        customer.debt, customer.store = customer.debt - beyond, customer.store + beyond
        if held:
            self.admit(now, held, True, True, True) if granted else self.refuse(now, held)
        if customer.debt <= 0:
            self.settle(now, customer)
        if (
            abs(gain) > DRIFT * customer.plan.burst
        ):  # of two gateways that put it right the later takes back
            self.count(customer, now, min(gain, 0.0), max(gain, 0.0), None)

    # ---- backends

    def fleet(self, now: float, event: EndpointListUpdate) -> None:
        """Follow the list; what it does not name as ready gets nothing new from this moment on."""
        if event.kind is UpdateKind.FAILED:
            return  # the old list stands
        gone: list[int] = []
        if event.kind in (UpdateKind.FULL, UpdateKind.CACHED):
            named = {entry.backend for entry in event.entries}
            gone = [n for n in self.backends if n not in named]
        if event.partition_count != self.partition.partition_count:
            partition = self.partition = Partition(
                self.settings.gateways, self.settings.index, event.partition_count
            )
            gone += [n for n in self.backends if not partition.holds(n) and n not in gone]
            ready, self.subset = (
                self.subset.ready,
                Subset(partition.gateways, partition.index, partition.partition_count),
            )
            for was in ready:
                self.subset.set_ready(was.backend, partition.holds_hash(was.hash), was.hash)
        for backend in gone:
            self.place(self.backends.pop(backend).entry, False)
        for entry in event.entries:
            known = self.backends.get(entry.backend)
            if known is not None and known.entry == entry:
                continue
            if known is not None:
                self.place(self.backends.pop(entry.backend).entry, False)
            if known is None or entry.up_since_ms > known.entry.up_since_ms:
                known = Backend(entry, len(self.unit_ms))
            known.entry = entry
            if entry.state is not EndpointStatus.GONE:
                self.backends[entry.backend] = known
                self.place(entry, entry.state is EndpointStatus.READY)

    def place(self, entry: Endpoint, ready: bool) -> None:
        """Keep the subset, and the ready backends of each group that drops its repeats.

        Those of another part are there for the repeats alone.
        """
        backend_hash = splitmix64(entry.backend)
        in_partition = self.partition.holds_hash(backend_hash)
        self.subset.set_ready(entry.backend, ready and in_partition, backend_hash)
        place = backend_hash, entry.backend
        for key in self.memberships(entry):
            group = self.groups.setdefault(key, [])
            if place in group[(at := bisect_left(group, place)) : at + 1]:
                del group[at]
            if ready:
                insort(group, place)
            if not group:
                del self.groups[key]

    @staticmethod
    def memberships(entry: Endpoint) -> tuple[tuple[DeduplicationScope, int], ...]:
        """The groups of a backend within which repeats are dropped, but for the whole fleet."""
        return (DeduplicationScope.ZONE, entry.zone), (DeduplicationScope.CELL, entry.cell)

    def patience(self, number: int) -> float:
        """The wait that this class may meet: long-aimed cheap work must not fill a pressed fleet."""
        classes = self.settings.classes
        priority_weight = [
            c.priority_weight / ms for c, ms in zip(classes, self.unit_ms, strict=True)
        ]
        aim = min(
            c.latency_objective_ms
            for c, w in zip(classes, priority_weight, strict=True)
            if w >= priority_weight[number]
        )
        return aim * (
            CHEAP_PATIENCE
            + (PATIENCE - CHEAP_PATIENCE) * priority_weight[number] / max(priority_weight)
        )

    def pile(self, now: float, backend: Backend) -> float:
        """What stands there from here and a request more, as a warm backend of size one would feel it."""
        able = self.mean_work * (backend.entry.size or 1) * backend.warmth(now, self.settings)
        return 1 + backend.load / able

    def candidates(self, call: PendingRequest) -> list[Backend]:
        """This gateway's subset of the ready backends, or of the group that drops a repeat."""
        kept = self.subset.members()
        if call.ran_group and call.ran_group[0] is not DeduplicationScope.ALL:
            group = self.groups.get(call.ran_group, [])
            kept = [n for n in kept if call.ran_group in self.memberships(self.backends[n].entry)]
            at = bisect_left(
                group, (splitmix64(self.settings.index + 1), 0)
            )  # where this gateway goes on
            others = (n for _, n in group[at:] + group[:at] if n not in kept)
            kept += [n for n, _ in zip(others, range(MIN_SUBSET_SIZE - len(kept)), strict=False)]
        return [
            self.backends[n]
            for n in (
                kept if len(kept) <= MAX_CANDIDATES else self.random.sample(kept, MAX_CANDIDATES)
            )
        ]

    def forecast(self, now: float, backend: Backend, call: PendingRequest) -> float:
        """Expected time of a send to this backend; silence bounds it from below.

        One attempt without an answer is no silence while others are answered: its connection may be dead and
        the backend sound. It could hurt where a backend starves only some requests; they fall overdue.
        """
        drag = backend.slowness[call.event.request_class].now(now, self.slowness.now(now))
        sent_at, own, *_ = next(iter(backend.out.values()), (now, 0.0))
        return max(
            call.work * drag * self.pile(now, backend), now - max(sent_at + own, backend.heard_at)
        )

    def slow_start_budget(self, now: float, backend: Backend, work: float) -> bool:
        """Guards a cold backend: all gateways' work in a window stays well inside what pushes it over."""
        # Gateways take their turns at different moments; a part below one request is rounded by chance. A
        # window is allowed what the backend could do as it began, so a turn reckons with that.
        s = self.settings
        warmth = backend.warmth(now - s.overload_window_ms, s)
        turn = (now / s.overload_window_ms + s.index / s.gateways) // 1
        if warmth < 1 and backend.cold_turn != turn:
            backend.cold_turn = turn
            users = self.subset.gateways_of(backend.entry.backend)
            rate = max(COLD_FLEET * warmth * self.able, COLD_OWN * backend.able)
            able = max(COLD_PART * warmth, rate / 1000 * self.mean_work)
            requests = able * s.overload_factor * s.overload_window_ms / users / self.mean_work
            backend.cold_left = (requests + self.random.random()) // 1 * self.mean_work
        return warmth >= 1 or backend.cold_left >= work / 2

    def choose(self, now: float, call: PendingRequest, patience: float = inf) -> Backend | None:
        """The backend with the least expected delay, at random among near ties; None: refuse."""
        kept = [b for b in self.candidates(call) if self.slow_start_budget(now, b, call.work)]
        rated = [
            (self.forecast(now, b, call), b) for b in kept if b not in call.tried or len(kept) == 1
        ]
        if not rated:
            return None
        least = min(f for f, _ in rated)
        best = self.random.choice([b for f, b in rated if f <= least * TIE])
        fleet = self.slowness.now(now)  # one bad backend is no sign of a pressed fleet
        drag = min(fleet, best.slowness[call.event.request_class].now(now, fleet))
        wait = drag * self.mean_work * self.pile(now, best)
        first = patience < inf and not call.tried
        late = (wait + call.work - self.mean_work) / max(1.0, call.aim - now) if first else 0.0
        over = max(1.0, wait / patience, late)
        if (
            over > 1
            and not best.out
            and now - self.slowness.at > NEWS_MS
            and call.work < call.aim - now
        ):
            return best  # nobody would learn that the jam is over if all were refused
        return best if self.random.random() <= over**-RESOLVE else None

    def group(
        self, backend: Backend, request_class: RequestClass
    ) -> tuple[DeduplicationScope, int]:
        """The backends that drop each other's repeats of this class."""
        entry = backend.entry
        return request_class.deduplication_scope, {
            DeduplicationScope.ALL: 0,
            DeduplicationScope.ZONE: entry.zone,
            DeduplicationScope.CELL: entry.cell,
        }[request_class.deduplication_scope]

    # ---- attempts

    def send(self, now: float, call: PendingRequest, backend: Backend) -> None:
        """Start an attempt and remember what it may do."""
        pile, number = self.pile(now, backend), len(call.tried)
        due = OVERDUE * max(1.0, self.slowness.now(now)) * (self.mean_work * pile + call.work)
        backend.out[call.event.request, number] = (
            now,
            call.work,
            pile,
            call.event.request_class,
            now + due,
        )
        call.out.append(number)
        backend.load += call.work
        backend.cold_left -= call.work
        self.mean_work += (call.work - self.mean_work) * (1 - KEEP) / 2
        call.tried.append(backend)
        self.actions.append(Send(call.event.request, backend.entry.backend))
        self.watch(now, call, due)

    def watch(self, now: float, call: PendingRequest, due: float) -> None:
        """Have a look at the attempt sent last once it is overdue, where another could follow then."""
        most, number = self.settings.max_attempts, len(call.tried)
        repeatable = (
            call.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            and self.settings.hedging
        )
        if repeatable and number < most and now + due < call.deadline:
            self.actions.append(SetTimer(due, call.event.request * most + number - 1))

    def overdue(self, now: float, event: TimerFired) -> None:
        """Guards against an answer that never comes or stops half way, with its connection left open.

        A second copy goes elsewhere while the first may still answer. It covers a backend that stands still
        or has vanished too. Where the whole fleet is slow, copies would only add to the load: the time grows
        with its slowness, they need patience like any first try, and further attempts are rationed.
        """
        request, number = divmod(event.label, self.settings.max_attempts)
        call = self.calls.get(request)
        if call is None or number not in call.out or number != len(call.tried) - 1:
            return
        sent_at, *_, due = call.tried[number].out.get((request, number), (now, now + NEWS_MS))
        self.may_run(call, number, sent_at)
        self.again(now, call, self.patience(call.event.request_class))
        if number == len(call.tried) - 1:
            self.watch(now, call, due - sent_at)

    def ended(self, now: float, event: AttemptEnded) -> None:
        """Learn from the outcome, then answer the request or try again as far as its class allows."""
        backend = self.backends.get(event.backend)
        known = backend.out.pop((event.request, event.attempt), None) if backend else None
        call = self.calls.get(event.request)
        if backend and event.report and len(self.told) == 2:
            self.reported(now, backend, event.report)
        if backend and known:
            backend.load = max(0.0, backend.load - known[1]) if backend.out else 0.0
            self.learn(now, backend, event, known)
        if call is None:
            return
        if (
            event.quota_used_percent is not None
        ):  # the site has a meter: it takes the counter's place
            call.customer.follow(now, event.quota_used_percent >= 100)
        if event.outcome is Outcome.OK:
            units = event.actual_units or call.event.units
            call.customer.answers += 1
            call.customer.unit_sum += units
            call.customer.unit_squares += units * units
            call.customer.tokens -= units - call.event.units
            call.customer.debt += units - call.event.units
        if event.attempt in call.out:
            call.out.remove(event.attempt)
        if event.concluded:
            self.actions += [Cancel(event.request, n) for n in call.out if self.settings.cancel]
            return self.withdrawn(now, event)
        if not event.outcome.never_ran:
            self.may_run(call, event.attempt, now - event.elapsed_ms)
        if not call.out or event.attempt == len(call.tried) - 1:  # else the copy sent last goes on
            self.again(now, call)

    def may_run(self, call: PendingRequest, number: int, sent_at: float) -> None:
        """An attempt may have run, or may yet: a keyed request then keeps to the group that knows it."""
        call.may_have_run = True
        if call.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and call.ran_group is None:
            call.ran_group = self.group(call.tried[number], call.request_class)
            call.ran_until = sent_at + call.request_class.deduplication_window_ms

    def again(self, now: float, call: PendingRequest, patience: float = inf) -> None:
        """The one table of further attempts: by effect, and by what may have run."""
        safe, keyed = (
            call.request_class.idempotency is Idempotency.IDEMPOTENT,
            call.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY,
        )
        harmless, reach = safe or not call.may_have_run, self.settings.connect_timeout_ms + REACH_MS
        allowed = harmless or (keyed and now < call.ran_until - reach)
        refusable = harmless or (
            keyed and call.request_class.deduplication_scope is DeduplicationScope.ALL
        )
        more = (
            len(call.tried) < self.settings.max_attempts
            and now < call.deadline - self.settings.tick_ms
        )
        may = allowed and more and self.retries >= 1
        if may and (backend := self.choose(now, call, patience)) is not None:
            self.retries -= 1
            return self.send(now, call, backend)
        if call.out:
            return  # what is out may still answer
        if refusable:
            return self.refuse(now, call)
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    def reported(self, now: float, backend: Backend, report: tuple[float, ...]) -> None:
        """A load report: what a backend does, over how busy that keeps it, is what it can do."""
        rate, busy = (report[i] for i in self.told)
        if rate > 0 and busy >= BUSY:
            able = rate / min(busy, 1.0)
            backend.able += (able - backend.able) * LEARN_ABLE
            if backend.warmth(now, self.settings) >= 1:
                self.able += (able - self.able) * LEARN_FLEET

    def learn(self, now: float, backend: Backend, event: AttemptEnded, sent: Sent) -> None:
        """Every kind of sign moves one measure; what came of a request's run tells of its class only."""
        sent_at, work, pile, request_class, due = sent
        took = event.elapsed_ms / pile / work
        fleet = self.slowness.now(now)
        heard = backend.heard_at > sent_at  # then one connection may be silent, but not the backend
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            backend.heard_at = now
        overdue = event.outcome is Outcome.CANCELLED and now > due
        if event.outcome is Outcome.OK:
            backend.slowness[request_class].sign(now, took, 1 - KEEP, fleet)
            self.unit_ms[request_class] *= (
                1 + min(took - 1, 1.0) * LEARN
            )  # a jam is not learnt as usual
        elif overdue or event.outcome not in (Outcome.CANCELLED, Outcome.SKIPPED):
            # it may fail just this class; a process that has died refuses new connections too
            own = overdue or event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)
            mild = (
                overdue
                or event.outcome is Outcome.RESET
                or (heard and event.outcome is Outcome.TIMEOUT)
            )
            for c in [request_class] if own else range(len(self.unit_ms)):
                backend.slowness[c].sign(now, BROKEN if mild else max(DREAD, took), BLAME, fleet)
        if event.outcome in (Outcome.OK, Outcome.REJECTED) or (
            event.outcome is Outcome.TIMEOUT and not heard
        ):
            seen = DREAD / 2 if event.outcome is Outcome.REJECTED else took
            self.slowness.sign(now, min(seen, fleet * LEAP + 1), 1 - KEEP)
