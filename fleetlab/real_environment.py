"""The stand-in servers of a run with one real ingress."""

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

BACKEND_PORTS = 128  # shared by the listed backends


@dataclass(frozen=True, slots=True)
class RealRun:
    """The parameters of one run."""

    backends: int  # listed by discovery
    mode: ResponseMode = ResponseMode.GOOD
    # Maximum time until ready. The load also lasts this long, plus real_session.DRAIN_WATCH_S.
    seconds: float = 10.0
    seed: int = 0
    index: int = 0  # index of the ingress among the gateways
    known: int = 0  # backends listed in the configuration of the ingress
    rate: float = REQUESTS_PER_S / INGRESSES  # requests per second
    changes_per_s: float = 1.0  # changes of the endpoint list per second


@dataclass(frozen=True, slots=True)
class Environment:
    """The servers of a run, and the endpoint list that discovery serves."""

    discovery: DiscoveryServer
    counter: CounterServer
    backends: BackendServers
    direct_backend: BackendServers  # receives only the load that bypasses the ingress
    entries: list[JsonObject]


@asynccontextmanager
async def start_environment(run: RealRun) -> AsyncIterator[Environment]:
    """Start the servers; stop them at the end, also after an error."""
    backends = BackendServers(BACKEND_PORTS)
    direct_backend = BackendServers(1)
    counter = CounterServer()
    await backends.start()
    await direct_backend.start()
    await counter.start()
    entries = endpoint_entries(run.backends, backends.endpoints, run.seed)
    discovery = DiscoveryServer(entries, run.mode)
    await discovery.start()
    # Garbage collection of the lab's own list would show in the latency of the ingress.
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
