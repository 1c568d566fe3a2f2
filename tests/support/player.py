"""Plays drawn steps to a gateway through the checker of rules, in virtual time."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from sumacpost.model import (
    Action,
    Actions,
    AddToCounter,
    AttemptEnded,
    CounterReplied,
    EndpointStatus,
    Event,
    Outcome,
    Plan,
    RequestCancelled,
    Send,
    Settings,
    TimerFired,
    UpdateKind,
)
from sumacpost.policy.gateway import Gateway
from tests.support.builders import (
    START_MS,
    actions_of_type,
    endpoint_list_update,
    request_arrived,
    settings,
)
from tests.support.rule_checker import Handler, RuleChecker

Step = tuple[str, int, int]  # kind of step, number that selects its details, pause before it in ms

COUNTER_TIMEOUT_MS = 50.0
FILL_MS = 5000  # time in which the ceiling of a new customer fills up
COUNTER_SETTINGS = settings(
    plans=(Plan(20, 30, ceiling_rate=26, ceiling_burst=39),),
    counter=True,
    counter_timeout_ms=COUNTER_TIMEOUT_MS,
)
NAME_CUSTOMER_MASK = 2**33 - 1  # the part of a counter's name that is the customer's number
COUNTER_OUTCOMES = (Outcome.OK, Outcome.OK, Outcome.TIMEOUT, Outcome.RESET, Outcome.REJECTED)


@dataclass(frozen=True, slots=True)
class InFlight:
    """An attempt that has not ended."""

    request: int
    attempt: int
    backend: int
    sent_at: float


class Player:
    """Plays steps to a gateway through the checker; every attempt ends by its deadline."""

    def __init__(
        self, handle: Handler, settings: Settings, restart: Callable[[], Handler] | None = None
    ) -> None:
        self.checker = RuleChecker(handle, settings)
        self.restart_gateway = restart
        self.now = START_MS
        self.request_count = 0
        self.in_flight: list[InFlight] = []
        self.checker.feed(self.now, endpoint_list_update(1, 2, 3, 4))

    def play(self, steps: list[Step]) -> None:
        """Play the steps, end all attempts in flight, and check that all requests are concluded."""
        for kind, pick, pause_ms in steps:
            self.now += pause_ms
            self.time_out()
            self.play_one(kind, pick)
        for _ in range(20):
            self.now += 1
            for _ in range(len(self.in_flight)):
                deadline = self.checker.requests[self.in_flight[0].request].deadline
                self.end(0, Outcome.TIMEOUT if deadline <= self.now else Outcome.OK)
        self.checker.finish()

    def play_one(self, kind: str, pick: int) -> None:
        """Play one step at the current time."""
        play_step: dict[str, Callable[[int], None]] = {
            "ask": self.send_request,
            "end": self.end_random,
            "leave": self.cancel_request,
            "fleet": self.update_endpoints,
            "timer": self.fire_timer,
            "restart": self.restart,
        }
        play_step[kind](pick)

    def start_attempts(self, actions: list[Action]) -> None:
        for send in actions_of_type(actions, Send):
            attempt = len(self.checker.requests[send.request].attempts) - 1
            self.in_flight.append(InFlight(send.request, attempt, send.backend, self.now))

    def end(self, index: int, outcome: Outcome) -> None:
        ending = self.in_flight.pop(index)
        tracked = self.checker.requests[ending.request]
        concluded = tracked.concluded or outcome is Outcome.OK
        elapsed_ms = self.now - ending.sent_at
        event = AttemptEnded(
            ending.request, ending.attempt, ending.backend, outcome, elapsed_ms, concluded
        )
        self.start_attempts(self.checker.feed(self.now, event))

    def time_out(self) -> None:
        """End the attempts whose deadlines have passed, at the time of the deadline."""
        for index in reversed(range(len(self.in_flight))):
            deadline = self.checker.requests[self.in_flight[index].request].deadline
            if deadline <= self.now:
                now = self.now
                self.now = deadline
                self.end(index, Outcome.TIMEOUT)
                self.now = now

    def send_request(self, pick: int) -> None:
        self.request_count += 1
        event = request_arrived(
            self.request_count,
            pick % 4,
            pick % 3,
            units=1 + pick % 4,
            time_left_ms=500 + pick % 4000,
        )
        self.start_attempts(self.checker.feed(self.now, event))

    def end_random(self, pick: int) -> None:
        if self.in_flight:
            self.end(pick % len(self.in_flight), list(Outcome)[pick // 7 % 8])

    def cancel_request(self, pick: int) -> None:
        if self.request_count:
            self.checker.feed(self.now, RequestCancelled(1 + pick % self.request_count))

    def update_endpoints(self, pick: int) -> None:
        state = list(EndpointStatus)[pick % 3]
        kind = list(UpdateKind)[pick // 3 % 4]
        ids = [backend for backend in (1, 2, 3, 4) if pick >> (backend + 4) & 1]
        up = self.now if pick % 5 == 0 else 0.0
        self.checker.feed(self.now, endpoint_list_update(*ids, state=state, kind=kind, up=up))

    def fire_timer(self, pick: int) -> None:
        self.checker.feed(self.now, TimerFired(pick % 2))

    def restart(self, pick: int) -> None:
        """Replace the gateway; clients have to retry the requests that were pending."""
        if self.restart_gateway is None:
            return
        self.in_flight.clear()
        for tracked in self.checker.requests.values():
            tracked.concluded = True
        self.checker.handle = self.restart_gateway()
        ready = [n for n in self.checker.locations if n not in self.checker.draining_since]
        self.checker.feed(self.now, endpoint_list_update(*ready, kind=UpdateKind.CACHED))


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the counter without a reply.

    Attributes:
        added: the action of the gateway.
        reported_units: the part of the amount that is use, and no correction of the name's total.
        sent_at: when the call was made, in ms.
    """

    added: AddToCounter
    reported_units: float
    sent_at: float


class CounterPlayer(Player):
    """Plays steps to a gateway with a counter, which answers some calls and not the others."""

    def __init__(self, new_gateway: Callable[[], Gateway]) -> None:
        self.calls: deque[Call] = deque()
        self.totals: defaultdict[int, float] = defaultdict(float)
        # By customer: units of use that the counter may have added.
        self.units_counted: defaultdict[int, float] = defaultdict(float)

        def restart() -> Handler:
            self.calls.clear()
            return self.observe_calls(new_gateway())

        super().__init__(restart(), COUNTER_SETTINGS, restart)

    def observe_calls(self, gateway: Gateway) -> Handler:
        """Return the gateway's handler of events, which notes the calls that it makes."""

        def observe(now: float, event: Event) -> list[Action]:
            actions: Actions = list(gateway.handle(now, event))
            added = actions_of_type(actions, AddToCounter)
            for position, action in enumerate(added):
                later = sum(other.name == action.name for other in added[position:])
                call = gateway.quota_sync.pending_calls[action.name][-later]
                self.calls.append(Call(action, call.reported_units, now))
            return actions

        return observe

    def play(self, steps: list[Step]) -> None:
        self.now += FILL_MS
        for kind, pick, pause_ms in steps:
            self.now += pause_ms
            self.time_out()
            if kind == "reply":
                self.reply(COUNTER_OUTCOMES[pick % len(COUNTER_OUTCOMES)])
            else:
                super().play_one(kind, pick)
        self.now += COUNTER_TIMEOUT_MS
        self.time_out()
        super().play([])

    def send_request(self, pick: int) -> None:
        self.request_count += 1
        units = 1 + pick % 4
        event = request_arrived(self.request_count, pick % 4, pick % 2, units=units)
        self.start_attempts(self.checker.feed(self.now, event))

    def reply(self, outcome: Outcome) -> None:
        if not self.calls:
            return
        call = self.calls.popleft()
        if outcome is not Outcome.REJECTED:  # it may have been added
            self.totals[call.added.name] += call.added.amount
            customer = call.added.name & NAME_CUSTOMER_MASK
            self.units_counted[customer] += call.reported_units
        total = self.totals[call.added.name]
        event = CounterReplied(call.added.name, outcome, self.now - call.sent_at, total)
        self.start_attempts(self.checker.feed(self.now, event))

    def time_out(self) -> None:
        """End the counter calls and the attempts whose time is up."""
        now = self.now
        while self.calls and self.calls[0].sent_at + COUNTER_TIMEOUT_MS <= now:
            self.now = self.calls[0].sent_at + COUNTER_TIMEOUT_MS
            super().time_out()
            self.reply(Outcome.TIMEOUT)
        self.now = now
        super().time_out()

    def units_sent(self, customer: int) -> float:
        """Return the units of a customer's requests that were sent at least once."""
        requests = self.checker.requests.values()
        return sum(r.event.units for r in requests if r.event.customer == customer and r.attempts)
