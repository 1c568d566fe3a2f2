"""A run: one real ingress, usual load, and hostile peers beside it for some seconds."""

from __future__ import annotations

import asyncio
import json
import tempfile
from dataclasses import dataclass
from pathlib import Path

from fleetlab.counter_server import CounterServer
from fleetlab.discovery_server import DiscoveryServer
from fleetlab.ingress_address import wait_for_address
from fleetlab.load_generator import NO_RESPONSE, LoadGenerator
from fleetlab.memory.hostile_backends import BackendKind, HostileBackends
from fleetlab.memory.hostile_clients import ClientKind, HostileClients
from fleetlab.process_stats import check_memory, peak_mb, rss_mb
from fleetlab.processes import ChildProcess, ChildProcesses
from fleetlab.results import Figures
from fleetlab.site import config_text, endpoint_entries
from fleetlab.versioned_list import JsonObject

BACKENDS = 32
CALM_S = 2.0  # usual load alone, before the hostile peers
RECOVERY_S = 5.0  # usual load alone, after them
SAMPLE_INTERVAL_S = 0.02
USUAL_RATE = 50.0  # requests per second
ESTIMATED_RUN_MB = 1200.0

# The program that measures its callbacks, and the variable that names its file of times. It loads
# the ingress, so the lab starts it and does not import it.
MONITORED_INGRESS = "fleetlab.monitored_ingress"
TIMES_FILE_VARIABLE = "CALLBACK_TIMES"

_KEYED_CLASS: JsonObject = {
    "name": "book",
    "aim": 1000.0,
    "hard_limit": 4000.0,
    "points": 5.0,
    "idempotency": "token",
    "group": "all",
    "dedup_window": 5000.0,
}


@dataclass(frozen=True, slots=True)
class MemoryRun:
    """The parameters of one run."""

    clients: ClientKind = ClientKind.NONE
    backends: BackendKind = BackendKind.NONE
    client_count: int = 100
    hostile_interval: int = 4  # one of so many responses is of the backends' hostile kind
    memory_mb: int = 64
    sockets: int = 1024
    seconds: float = 8.0  # for which the hostile peers are active
    seed: int = 0
    callback_times: Path | None = None  # the file for the times of the ingress's callbacks, if any


async def measure(run: MemoryRun) -> Figures:
    """Return the figures of a run.

    calm_mb, peak_mb and after_mb are the resident memory of the ingress before the hostile peers,
    at most, and RECOVERY_S after them; None for the last if the process has ended. over_limit is 1
    if the peak exceeds the limit of the configuration: the platform would kill the ingress then.
    Raise RuntimeError if the ingress does not start, and MemoryLimitError if the machine's memory
    does not suffice.
    """
    check_memory([], ESTIMATED_RUN_MB)
    backends = HostileBackends(BACKENDS, run.backends, run.hostile_interval)
    counter = CounterServer()
    processes = ChildProcesses()
    await backends.start()
    await counter.start()
    discovery = DiscoveryServer(endpoint_entries(BACKENDS, backends.endpoints, run.seed))
    await discovery.start()
    try:
        return await _measure(run, processes, discovery, counter)
    finally:
        await processes.terminate_all()
        await discovery.stop()
        await counter.stop()
        await backends.stop()


async def _measure(
    run: MemoryRun, processes: ChildProcesses, discovery: DiscoveryServer, counter: CounterServer
) -> Figures:
    with tempfile.TemporaryDirectory(prefix="fleetlab-") as folder:
        path = Path(folder) / "config.json"
        path.write_text(_config_text(run, discovery.address, counter.address))
        environment = {"RELAY_CONFIG": str(path)}
        if run.callback_times is not None:
            environment[TIMES_FILE_VARIABLE] = str(run.callback_times)
        ingress = await processes.start(
            "sumacpost" if run.callback_times is None else MONITORED_INGRESS, environment
        )
        address = await wait_for_address(ingress)
    usual = LoadGenerator(address, USUAL_RATE, run.seed, gateway_spread=1)
    load = asyncio.create_task(usual.run(CALM_S + run.seconds + RECOVERY_S))
    await asyncio.sleep(CALM_S)
    calm_mb = rss_mb(ingress.pid)
    hostile = asyncio.create_task(HostileClients(address, run.clients, run.client_count).run())
    await _watch_memory(ingress, run.seconds)
    hostile.cancel()
    await asyncio.gather(hostile, return_exceptions=True)
    await load
    alive = ingress.running
    peak = peak_mb(ingress.pid) if alive else None
    statuses = usual.statuses
    return {
        "calm_mb": calm_mb,
        "peak_mb": peak,
        "after_mb": rss_mb(ingress.pid) if alive else None,
        "over_limit": float(peak is None or peak > run.memory_mb),
        "requests": float(statuses.total()),
        "served": float(statuses[200]),
        "refused": float(statuses[429] + statuses[503]),
        "unanswered": float(statuses[NO_RESPONSE]),
    }


async def _watch_memory(ingress: ChildProcess, seconds: float) -> None:
    """Wait; end the ingress if it takes more of the machine's memory than a run may."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end and ingress.running:
        check_memory([ingress.pid])
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _config_text(run: MemoryRun, discovery: str, counter: str) -> str:
    config = json.loads(
        config_text(
            index=0, gateways=1, discovery=discovery, counter=counter, seed=run.seed, classes=1
        )
    )
    config["limits"] = {"sockets": run.sockets, "memory_mb": run.memory_mb}
    config["settings"]["categories"].append(_KEYED_CLASS)
    return json.dumps(config)
