"""Plans in which bad clients fill the descriptors and the event loop of all ingresses."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from fleetlab.soak.schedule import FAULT_FREE_S, FaultKind, PlannedFault, SoakPlan, draw_site
from fleetlab.soak.stress_plans import draw_deadlines, draw_disturbances, make_stress_plan

CLIENTS = 20  # usual clients per ingress: with the bad ones, below a third of the descriptors
NEW_CONNECTIONS = 0.4  # fraction of the usual requests that are sent on a new connection
SOCKETS = (256, 384)  # choices for the socket limit of an ingress
DEADLINES_S = (1.5, 2.3, 4.0)
END_S = 1.0  # time without new bad clients at the end of the run


def make_bad_clients_plan(seed: int, ingresses: int, seconds: float) -> SoakPlan:
    """Return a plan with bad clients at all ingresses, beside which usual requests are served."""
    random = Random(f"bad clients {seed}")
    site = draw_site(random, ingresses)
    site = draw_deadlines(random, site, random.choice(DEADLINES_S))
    site = replace(site, sockets=random.choice(SOCKETS))
    backends = random.randint(6, 8)
    faults = [
        PlannedFault(
            FAULT_FREE_S / 2,
            FaultKind.BAD_CLIENTS,
            target,
            max(0.0, seconds - END_S - FAULT_FREE_S / 2),
        )
        for target in range(ingresses)
    ]
    faults += draw_disturbances(random, ingresses, seconds)
    plan = make_stress_plan(seed, site, backends, seconds, CLIENTS, faults)
    return replace(plan, bad_clients=True, new_connections=NEW_CONNECTIONS)
