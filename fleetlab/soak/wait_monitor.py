"""Traces when processes waited for a processor or a disk.

These waits limit the accuracy of all times recorded in a run.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable
from pathlib import Path

from fleetlab.soak.records import ProcessWait

INTERVAL_S = 0.05
MIN_WAIT_S = 0.005  # shorter waits are within the slack of the rules


class WaitMonitor:
    """Samples the waits of processes, and the delay of the soak's event loop, every INTERVAL_S."""

    def __init__(self, pids: Callable[[], Iterable[int]], waits: list[ProcessWait]) -> None:
        self._pids = pids
        self._waits = waits
        self._total_wait_ns: dict[int, int] = {}  # by pid, ns since the start of the process

    async def run(self) -> None:
        """Record waits until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            await asyncio.sleep(INTERVAL_S)
            ended_at = loop.time()
            self._record(os.getpid(), began_at, ended_at, ended_at - began_at - INTERVAL_S)
            for pid in self._pids():
                waited_s = self._new_wait_s(pid)
                if _is_blocked(pid):
                    waited_s = ended_at - began_at
                self._record(pid, began_at, ended_at, waited_s)

    def _record(self, pid: int, began_at: float, ended_at: float, waited_s: float) -> None:
        if waited_s >= MIN_WAIT_S:
            self._waits.append(ProcessWait(pid, began_at, ended_at, round(waited_s, 4)))

    def _new_wait_s(self, pid: int) -> float:
        try:
            _, total_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
        except (OSError, ValueError):
            return 0.0  # the process has exited, or the system does not provide schedstat
        since_ns = int(total_ns) - self._total_wait_ns.get(pid, int(total_ns))
        self._total_wait_ns[pid] = int(total_ns)
        return since_ns / 1e9


def _is_blocked(pid: int) -> bool:
    """Return whether a process is in an uninterruptible wait, as for a disk that blocks logging."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except (OSError, IndexError):
        return False
    return state == "D"
