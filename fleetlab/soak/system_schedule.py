"""Plans with failing system calls, wrong wall clocks or a failing path to the counter."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from fleetlab.soak.schedule import FAULT_FREE_S, FaultKind, PlannedFault, SoakPlan, make_plan
from fleetlab.soak.stress_plans import make_slow_start_plan

FAULTS_PER_INGRESS = (1, 4)  # range of the number of system faults per ingress
CLOCK_STEP_CHANCE = 0.4  # chance per ingress of a clock step during the run
WRONG_CLOCK_CHANCE = 0.8  # chance per ingress in a plan for wrong clocks
ALL_INGRESSES = -1  # target of a fault that affects all ingresses
BEFORE_START_S = -1.0  # start time of a fault that takes effect before the processes start
CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
# Kinds drawn for each ingress; CLOCK_STEP and SYSTEM_LOG are drawn separately.
_SYSTEM_KINDS = (
    FaultKind.SYSTEM_ACCEPT,
    FaultKind.SYSTEM_SOCKET,
    FaultKind.SYSTEM_CONNECT,
    FaultKind.SYSTEM_INTERRUPTS,
    FaultKind.SYSTEM_SHORT_READS,
    FaultKind.SYSTEM_SHORT_WRITES,
    FaultKind.SYSTEM_BROKEN,
)


_COUNTER_KINDS = (
    FaultKind.COUNTER_DELAYED,
    FaultKind.COUNTER_SILENT,
    FaultKind.COUNTER_RESET,
    FaultKind.COUNTER_HALF_CLOSED,
)


def make_system_fault_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan with the faults of `make_plan`, failing system calls and clock steps."""
    plan = make_plan(seed, ingresses, seconds)
    random = Random(f"system faults {seed}")
    faults = list(plan.faults)
    for target in range(ingresses):
        for _ in range(random.randint(*FAULTS_PER_INGRESS)):
            at_s = random.uniform(FAULT_FREE_S, seconds)
            kind = random.choice(_SYSTEM_KINDS)
            faults.append(PlannedFault(at_s, kind, target, random.uniform(0.5, 3.0)))
        if random.random() < CLOCK_STEP_CHANCE:
            step_s = random.choice(CLOCK_STEPS_S)
            at_s = random.uniform(FAULT_FREE_S, seconds)
            faults.append(PlannedFault(at_s, FaultKind.CLOCK_STEP, target, step_s))
    faults += _draw_log_fault(random, plan, seconds)
    return replace(plan, faults=tuple(sorted(faults, key=lambda fault: fault.at_s)))


def make_counter_path_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan with the faults of `make_system_fault_plan` and a failing path to a counter."""
    plan = make_system_fault_plan(seed, ingresses, seconds)
    random = Random(f"counter path {seed}")
    faults = [
        PlannedFault(
            random.uniform(FAULT_FREE_S, seconds), kind, ALL_INGRESSES, random.uniform(0.3, 2.0)
        )
        for kind in random.sample(_COUNTER_KINDS, 3)
    ]
    return replace(plan, counter=True, faults=(*plan.faults, *faults))


def make_wrong_clock_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan that stresses slow start while the wall clocks of most ingresses are wrong."""
    plan = make_slow_start_plan(seed, ingresses, seconds)
    random = Random(f"wrong clocks {seed}")
    steps = [
        PlannedFault(BEFORE_START_S, FaultKind.CLOCK_STEP, target, random.choice(CLOCK_STEPS_S))
        for target in range(ingresses)
        if random.random() < WRONG_CLOCK_CHANCE
    ]
    return replace(plan, faults=(*steps, *plan.faults))


def _draw_log_fault(random: Random, plan: SoakPlan, seconds: float) -> list[PlannedFault]:
    """Draw a fault of the log for one ingress that is not restarted, if there is one.

    Restarted ingresses are excluded, since the start of a process and the requests that it accepted
    are read from its log.
    """
    restarts = (FaultKind.RESTART, FaultKind.KILL)
    restarted = {fault.target for fault in plan.faults if fault.kind in restarts}
    not_restarted = [target for target in range(plan.ingresses) if target not in restarted]
    return [
        PlannedFault(random.uniform(FAULT_FREE_S, seconds), FaultKind.SYSTEM_LOG, target, 1.0)
        for target in not_restarted[:1]
    ]
