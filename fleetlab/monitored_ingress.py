"""The ingress with a monitor of its event loop's callbacks, as a program.

It is configured and ended like the ingress itself, and then writes the times of its callbacks as
JSON to the file that CALLBACK_TIMES names.
"""

from __future__ import annotations

import asyncio
import functools
import os
import sys
from pathlib import Path

import msgspec
import uvloop

from fleetlab.callback_monitor import CallbackMonitor
from fleetlab.memory.run import TIMES_FILE_VARIABLE
from sumacpost.counter.connection import CounterConnection
from sumacpost.server.connection import ClientConnection
from sumacpost.service import main
from sumacpost.upstream.connection import BackendConnection

PROTOCOLS: tuple[type[asyncio.BaseProtocol], ...] = (
    ClientConnection,
    BackendConnection,
    CounterConnection,
    asyncio.StreamReaderProtocol,
)


def run() -> int:
    """Run the ingress, write the times, and return its exit status."""
    monitor = CallbackMonitor()
    monitor.monitor_garbage_collector()
    for protocol in PROTOCOLS:
        monitor.monitor_protocol(protocol)
    uvloop.run = functools.partial(uvloop.run, loop_factory=monitor.new_event_loop)
    status = main()
    Path(os.environ[TIMES_FILE_VARIABLE]).write_bytes(msgspec.json.encode(monitor.times))
    return status


if __name__ == "__main__":
    sys.exit(run())
