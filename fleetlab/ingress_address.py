"""The address that an ingress process listens on, read from its log."""

from __future__ import annotations

import asyncio
import re

from fleetlab.processes import ChildProcess

START_TIMEOUT_S = 10.0  # time in which the ingress has to start listening
START_POLL_S = 0.01

_SERVING = re.compile(rb"serving: name=\S* address=([\d.]+:\d+)")


async def wait_for_address(ingress: ChildProcess) -> str:
    """Return the address of the ingress; RuntimeError with its last output line if it exits."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            for line in list(ingress.stderr_lines):
                if (found := _SERVING.search(line)) is not None:
                    return found[1].decode()
            if not ingress.running:
                raise RuntimeError(f"the ingress has exited: {_last_line(ingress)}")
            await asyncio.sleep(START_POLL_S)


def _last_line(ingress: ChildProcess) -> str:
    if not ingress.stderr_lines:
        return "no output"
    return ingress.stderr_lines[-1].decode(errors="replace").strip()
