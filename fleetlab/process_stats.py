"""Memory and CPU time of processes, read from /proc, and limits on the memory of a run."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

MEMINFO = Path("/proc/meminfo")
KB_PER_MB = 1024
MAX_MEMORY_SHARE = 1 / 2  # fraction of the machine's memory that a run may use
MIN_AVAILABLE_SHARE = 1 / 8  # fraction of the machine's memory that has to remain available

# Indexes of fields in /proc/PID/stat, counted after the name of the command.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


class MemoryLimitError(RuntimeError):
    """The run uses, or would use, more of the machine's memory than the limits allow."""


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; OSError if it has exited."""
    return _read_field_mb(Path(f"/proc/{pid}/status"), "VmRSS")


def peak_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MB; OSError if it has exited."""
    return _read_field_mb(Path(f"/proc/{pid}/status"), "VmHWM")


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in s; OSError if it has exited."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def machine_mb() -> float:
    """Return the total memory of the machine in MB."""
    return _read_field_mb(MEMINFO, "MemTotal")


def check_memory(pids: Iterable[int], estimated_mb: float = 0.0) -> None:
    """Raise MemoryLimitError if a run uses too much memory, or would with a further `estimated_mb`.

    Memory is counted for this process and the given ones. They may use at most half of the
    machine's memory, and at least an eighth of it has to remain available.
    """
    used_mb = estimated_mb
    for pid in (os.getpid(), *pids):
        try:
            used_mb += rss_mb(pid)
        except OSError:
            continue  # the process has exited
    total_mb = machine_mb()
    if used_mb > total_mb * MAX_MEMORY_SHARE:
        raise MemoryLimitError(
            f"{used_mb:.0f} MB are more than half of the machine's {total_mb:.0f} MB"
        )
    available_mb = _read_field_mb(MEMINFO, "MemAvailable")
    if available_mb - estimated_mb < total_mb * MIN_AVAILABLE_SHARE:
        raise MemoryLimitError(
            f"only {available_mb:.0f} MB of the machine's {total_mb:.0f} MB are available"
        )


def _read_field_mb(path: Path, name: str) -> float:
    for line in path.read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) / KB_PER_MB
    raise OSError(f"{path} has no field {name}")
