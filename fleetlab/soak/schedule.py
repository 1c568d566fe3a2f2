"""The plan of a run: settings and a list of timed faults, all drawn from a seed.

Faults may overlap in any way.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from fleetlab.soak.machine import MachineSpec
from fleetlab.soak.records import Effect
from fleetlab.soak.site import SoakClass, SoakSite

FAULT_FREE_S = 1.5  # time without faults at the start, so that every process serves requests
MAX_PAUSE_S = 0.15  # longest permitted pause of a machine

CROWD_CHANCE = 0.3  # chance per run of a crowd of idle clients
CROWDED_CHANCE = 0.5  # chance per ingress of being crowded in such a run
COUNTER_CHANCE = 0.3  # chance per run of a shared counter
HEDGING_CHANCE = 0.7  # chance per run of hedged requests
LIST_FAULT_CHANCE = 0.4  # chance per ingress of a discovery fault
DEADLINES_S = (0.6, 0.9, 1.5, 2.3, 4.0)
SIGNAL_SERIES = (
    ("SIGTERM",),
    ("SIGTERM", "SIGTERM"),
    ("SIGHUP", "SIGTERM"),
    ("SIGHUP", "SIGHUP", "SIGTERM"),
    ("SIGTERM", "SIGHUP", "SIGINT"),
    ("SIGINT", "SIGTERM"),
)


class FaultKind(Enum):
    """The kinds of faults; the values are for reports.

    A system fault makes some calls of one ingress fail for its duration. A counter fault affects
    the path of all ingresses to the counter.
    """

    RESTART = "restart"  # a series of signals, SIGKILL if the process does not exit, a new process
    KILL = "kill"  # SIGKILL without an earlier signal, then a new process
    RELOAD = "reload"  # the agent moves to a new address, SIGHUP once or several times
    PAUSE = "pause"  # SIGSTOP for up to 0.15 s
    CROWD = "crowd"  # idle connections exhaust the descriptors
    BAD_CLIENTS = "bad_clients"  # so do clients that connect by hundreds, some with many requests
    BACKEND_HANGS = "backend_hangs"
    BACKEND_FAILS = "backend_fails"  # errors, resets, malformed and truncated responses
    BACKEND_RESETS_LATE = "backend_resets_late"  # resets during requests in progress
    BACKEND_UNBOUNDED = "backend_unbounded"  # responses without a stated length, some of them reset
    BACKEND_CRASHES = "backend_crashes"  # refuses and resets connections, then restarts
    BACKEND_UNREACHABLE = "backend_unreachable"  # no new connections, open ones are silent
    BACKEND_DRAINS = "backend_drains"  # draining, removed, then ready as a new incarnation
    BACKEND_FORGETS = "backend_forgets"  # idle connections are reset at their next request
    LIST_SILENT = "list_silent"  # polls get no response
    LIST_RESET = "list_reset"  # connections to the agent are reset
    LIST_TORN = "list_torn"  # half of the body of each response, then a close
    LIST_UNBOUNDED = "list_unbounded"  # responses without a stated length
    LIST_SLOW = "list_slow"  # each response is sent `gap_s` after it is due
    COUNTER_DELAYED = "counter_delayed"  # each chunk is delayed
    COUNTER_SILENT = "counter_silent"
    COUNTER_RESET = "counter_reset"
    COUNTER_HALF_CLOSED = "counter_half_closed"
    SYSTEM_ACCEPT = "system_accept"  # accepting connections fails
    SYSTEM_SOCKET = "system_socket"
    SYSTEM_CONNECT = "system_connect"
    SYSTEM_INTERRUPTS = "system_interrupts"  # waits for events are interrupted
    SYSTEM_SHORT_READS = "system_short_reads"
    SYSTEM_SHORT_WRITES = "system_short_writes"
    SYSTEM_BROKEN = "system_broken"  # connections to backends, discovery and the counter break
    SYSTEM_LOG = "system_log"  # writes to standard error fail
    CLOCK_STEP = "clock_step"  # permanent step of an ingress's wall clock by `seconds`


SYSTEM_FAULT_KINDS = frozenset(
    kind for kind in FaultKind if kind.value.startswith(("system_", "clock_"))
)

_INGRESS_FAULT_CHANCES = (
    (FaultKind.RESTART, 0.8),
    (FaultKind.KILL, 0.1),
    (FaultKind.RELOAD, 0.3),
    (FaultKind.PAUSE, 0.8),
)
_LIST_FAULTS = (
    FaultKind.LIST_SILENT,
    FaultKind.LIST_RESET,
    FaultKind.LIST_TORN,
    FaultKind.LIST_UNBOUNDED,
)
_BACKEND_FAULTS = (
    FaultKind.BACKEND_HANGS,
    FaultKind.BACKEND_FAILS,
    FaultKind.BACKEND_UNBOUNDED,
    FaultKind.BACKEND_CRASHES,
    FaultKind.BACKEND_UNREACHABLE,
    FaultKind.BACKEND_DRAINS,
    FaultKind.BACKEND_FORGETS,
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault of a plan.

    Attributes:
        at_s: the start of the fault, in seconds after the start of the load; negative for a fault
            that precedes the start of the processes.
        kind: the kind of the fault.
        target: the index of the ingress or the backend; ignored for a counter fault.
        seconds: the duration of the fault in seconds, where it has one. A crash lasts half of this
            value, and a drain lasts half of this value longer than the drain grace. For a clock
            step: the step, in seconds.
        signals: the signals of a restart or reload, in order.
        gap_s: the time between two signals, or the delay of a slow list, in seconds.
    """

    at_s: float
    kind: FaultKind
    target: int
    seconds: float = 0.0
    signals: tuple[str, ...] = ()
    gap_s: float = 0.0

    @property
    def before_start(self) -> bool:
        """Whether the fault takes effect before the processes start, as a clock step may."""
        return self.at_s < 0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of one run, drawn from its seed.

    Attributes:
        seed: the seed of the run.
        site: the settings of the ingresses.
        ingresses: the number of ingress processes.
        backends: the number of backends.
        seconds: the duration of the load, in seconds.
        clients: the number of clients per ingress.
        crowd: whether idle clients exhaust the descriptors of some ingresses.
        counter: whether there is a shared counter.
        faults: the faults of the run; each is carried out at its own time.
        clients_disconnect_first: whether the clients disconnect before the processes are
            terminated.
        machines: the machine of each backend; () if all serve any number of requests at once.
        bad_clients: whether bad clients connect by hundreds.
        new_connections: the fraction of requests after which a client closes its connection.
    """

    seed: int
    site: SoakSite
    ingresses: int
    backends: int
    seconds: float
    clients: int
    crowd: bool
    counter: bool
    faults: tuple[PlannedFault, ...]
    # Excluded from the repr, whose hash the tests pin for listed seeds.
    clients_disconnect_first: bool = field(default=False, repr=False)
    machines: tuple[MachineSpec, ...] = field(default=(), repr=False)
    bad_clients: bool = field(default=False, repr=False)
    new_connections: float = field(default=0.0, repr=False)


def make_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return the plan for a seed, with a number of ingresses and a duration of the load."""
    random = Random(seed)
    site = draw_site(random, ingresses)
    backends = random.randint(6, 12)
    crowd = random.random() < CROWD_CHANCE
    faults = [
        *draw_ingress_faults(random, ingresses, seconds, crowd),
        *_draw_backend_faults(random, backends, seconds),
    ]
    return SoakPlan(
        seed,
        site,
        ingresses,
        backends,
        seconds,
        clients=random.randint(3, 5),
        crowd=crowd,
        counter=random.random() < COUNTER_CHANCE,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )


def draw_site(random: Random, ingresses: int) -> SoakSite:
    """Draw the settings of a run."""
    longest_s = random.choice(DEADLINES_S)
    return SoakSite(
        (
            SoakClass("search", random.choice(list(Effect)), longest_s),
            SoakClass("order", Effect.KEYED, longest_s * random.uniform(0.4, 1.0)),
            SoakClass("pay", Effect.NOT_IDEMPOTENT, longest_s * random.uniform(0.4, 1.0)),
            SoakClass("read", Effect.IDEMPOTENT, longest_s * random.uniform(0.4, 1.0)),
        ),
        ingresses=ingresses,
        connect_timeout_s=random.choice((0.1, 0.25, 0.5)),
        drain_grace_s=random.choice((0.3, 0.5, 1.0)),
        dedup_window_s=random.choice((0.8, 3.0)),
        slow_start_s=random.choice((4.0, 15.0)),
        initial_capacity=random.choice((0.05, 0.2)),
        overload_factor=random.choice((1.3, 2.0)),
        hedging=random.random() < HEDGING_CHANCE,
    )


def draw_ingress_faults(
    random: Random, ingresses: int, seconds: float, crowd: bool
) -> list[PlannedFault]:
    """Draw the faults of the ingress processes and their agents."""
    faults = []
    for target in range(ingresses):
        for kind, chance in _INGRESS_FAULT_CHANCES:
            if random.random() < chance:
                at_s = random.uniform(FAULT_FREE_S, seconds)
                faults.append(_draw_ingress_fault(random, kind, target, at_s))
        if random.random() < LIST_FAULT_CHANCE:
            kind = random.choice(_LIST_FAULTS)
            at_s = random.uniform(FAULT_FREE_S, seconds)
            faults.append(PlannedFault(at_s, kind, target, random.uniform(0.5, 4.0)))
        if crowd and random.random() < CROWDED_CHANCE:
            at_s = random.uniform(FAULT_FREE_S, seconds)
            faults.append(PlannedFault(at_s, FaultKind.CROWD, target, random.uniform(1.0, 4.0)))
    return faults


def _draw_ingress_fault(random: Random, kind: FaultKind, target: int, at_s: float) -> PlannedFault:
    gap_s = random.uniform(0.0, 0.4)
    match kind:
        case FaultKind.RESTART:
            return PlannedFault(at_s, kind, target, 0.0, random.choice(SIGNAL_SERIES), gap_s)
        case FaultKind.RELOAD:
            return PlannedFault(at_s, kind, target, 0.0, ("SIGHUP",) * random.randint(1, 3), gap_s)
        case _:
            return PlannedFault(at_s, kind, target, random.uniform(0.05, MAX_PAUSE_S))


def _draw_backend_faults(random: Random, backends: int, seconds: float) -> list[PlannedFault]:
    """Draw one to three faults for each of half of the backends, and none for the others."""
    faults = []
    for target in random.sample(range(backends), backends // 2):
        for _ in range(random.randint(1, 3)):
            at_s = random.uniform(FAULT_FREE_S, seconds)
            kind = random.choice(_BACKEND_FAULTS)
            faults.append(PlannedFault(at_s, kind, target, random.uniform(1.0, 5.0)))
    return faults
