"""The stand-in servers before which one real ingress runs."""

from __future__ import annotations

import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from fleetlab.backend_servers import BackendServers
from fleetlab.counter_server import CounterServer
from fleetlab.discovery_server import DiscoveryServer, ResponseMode
from fleetlab.plan import INGRESSES, REQUESTS_PER_S
from fleetlab.site import endpoint_entries
from fleetlab.versioned_list import JsonObject

BACKEND_PORTS = 128  # that the listed backends share


@dataclass(frozen=True, slots=True)
class RealRun:
    """The parameters of one run."""

    backends: int  # listed by discovery
    mode: ResponseMode = ResponseMode.GOOD
    seconds: float = 10.0  # to become ready in, and of load after that
    seed: int = 0
    index: int = 0  # of the ingress in the fleet
    known: int = 0  # backends listed in its configuration
    rate: float = REQUESTS_PER_S / INGRESSES  # requests a second
    changes_per_s: float = 1.0  # of the list


@dataclass(frozen=True, slots=True)
class Environment:
    """The servers of a run, and the endpoint list that discovery serves."""

    discovery: DiscoveryServer
    counter: CounterServer
    backends: BackendServers
    direct_backend: BackendServers  # a port that only the load without an ingress goes to
    entries: list[JsonObject]


@asynccontextmanager
async def start_environment(run: RealRun) -> AsyncIterator[Environment]:
    """Start the servers; all are stopped whatever happens."""
    backends = BackendServers(BACKEND_PORTS)
    direct_backend = BackendServers(1)
    counter = CounterServer()
    await backends.start()
    await direct_backend.start()
    await counter.start()
    entries = endpoint_entries(run.backends, backends.endpoints, run.seed)
    discovery = DiscoveryServer(entries, run.mode)
    await discovery.start()
    # The list is the lab's own: collecting it would show in the latency of the ingress.
    gc.collect()
    gc.freeze()
    try:
        yield Environment(discovery, counter, backends, direct_backend, entries)
    finally:
        gc.unfreeze()
        await discovery.stop()
        await counter.stop()
        await backends.stop()
        await direct_backend.stop()
