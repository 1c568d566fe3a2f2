"""Which system calls of a process fail, and how often: a file that the process has mapped."""

from __future__ import annotations

import mmap
import struct
from enum import IntEnum
from pathlib import Path

FULL_RATE = 1_000_000  # the rate of a fault that always comes


class SystemFault(IntEnum):
    """What may fail; the numbers are those of `enum fault_kind` in system_faults.c."""

    ACCEPT = 0  # ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO or EINTR
    SOCKET = 1  # ENFILE, EMFILE, ENOBUFS or ENOMEM
    CONNECT = 2  # EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS, ETIMEDOUT, EAGAIN or EINTR
    WAIT_INTERRUPTED = 3  # EINTR of a wait for events
    SHORT_READ = 4  # of some bytes
    SHORT_WRITE = 5  # of some bytes
    BROKEN_CONNECTION = 6  # one that the process made: ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ...
    LOG_WRITE = 7  # to standard error: ENOSPC, EIO, EPIPE or EAGAIN


_CLOCK_STEP = struct.Struct("=q")
_UINT32 = struct.Struct("=I")
_RATES_OFFSET = _CLOCK_STEP.size
_COUNTS_OFFSET = _RATES_OFFSET + _UINT32.size * len(SystemFault)
_SIZE = _COUNTS_OFFSET + _UINT32.size * len(SystemFault)


class SystemFaults:
    """The faults of one process, which may be changed while it runs; they outlast a restart."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(_SIZE))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), _SIZE)

    def set_probability(self, fault: SystemFault, probability: float) -> None:
        """Let calls fail with a probability from 0 to 1."""
        offset = _RATES_OFFSET + _UINT32.size * fault
        _UINT32.pack_into(self._memory, offset, round(probability * FULL_RATE))

    def step_clock(self, seconds: float) -> None:
        """Set the wall clock forward, or back, by so much more."""
        (before_ns,) = _CLOCK_STEP.unpack_from(self._memory)
        _CLOCK_STEP.pack_into(self._memory, 0, before_ns + round(seconds * 1e9))

    def count_failed_calls(self, fault: SystemFault) -> int:
        """Return how many calls have failed."""
        (failed_calls,) = _UINT32.unpack_from(self._memory, _COUNTS_OFFSET + _UINT32.size * fault)
        return int(failed_calls)

    def close(self) -> None:
        """Let go of the file; the process keeps the faults that it has."""
        self._memory.close()
