"""What processes use, read from /proc, and the limit on the memory that a run may take."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

MEMINFO = Path("/proc/meminfo")
KB_PER_MB = 1024
MAX_MEMORY_SHARE = 1 / 2  # of the machine's memory, for a run
MIN_AVAILABLE_SHARE = 1 / 8  # of the machine's memory, left by all programs

# Of /proc/PID/stat, counted behind the name of the command.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


class MemoryLimitError(RuntimeError):
    """The run would take more of the machine's memory than it may, or has."""


def rss_mb(pid: int) -> float:
    """Return the megabytes that are resident now; OSError if the process has gone."""
    return _read_field_mb(Path(f"/proc/{pid}/status"), "VmRSS")


def peak_mb(pid: int) -> float:
    """Return the most megabytes ever resident; OSError if the process has gone."""
    return _read_field_mb(Path(f"/proc/{pid}/status"), "VmHWM")


def cpu_s(pid: int) -> float:
    """Return the seconds of processor time, user and system; OSError if the process has gone."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def machine_mb() -> float:
    """Return the megabytes of memory in the machine."""
    return _read_field_mb(MEMINFO, "MemTotal")


def check_memory(pids: Iterable[int], estimated_mb: float = 0.0) -> None:
    """Raise MemoryLimitError if this process, those given and what is expected take too much.

    Too much is more than half of the machine's memory, or leaving less than an eighth of it free.
    """
    used_mb = estimated_mb
    for pid in (os.getpid(), *pids):
        try:
            used_mb += rss_mb(pid)
        except OSError:
            continue  # it has ended
    total_mb = machine_mb()
    if used_mb > total_mb * MAX_MEMORY_SHARE:
        raise MemoryLimitError(
            f"{used_mb:.0f} MB are more than half of the machine's {total_mb:.0f} MB"
        )
    available_mb = _read_field_mb(MEMINFO, "MemAvailable")
    if available_mb - estimated_mb < total_mb * MIN_AVAILABLE_SHARE:
        raise MemoryLimitError(
            f"only {available_mb:.0f} MB of the machine's {total_mb:.0f} MB are free"
        )


def _read_field_mb(path: Path, name: str) -> float:
    for line in path.read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) / KB_PER_MB
    raise OSError(f"{path} has no {name}")
