"""Controls which system calls of a process fail and how often, by a file that the process maps."""

from __future__ import annotations

import mmap
import struct
from enum import IntEnum
from pathlib import Path

FULL_RATE = 1_000_000  # the rate of a fault that always occurs


class SystemFault(IntEnum):
    """The faults; their numbers are those of `enum fault_kind` in system_faults.c."""

    ACCEPT = 0  # ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO or EINTR
    SOCKET = 1  # ENFILE, EMFILE, ENOBUFS or ENOMEM
    CONNECT = 2  # EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS, ETIMEDOUT, EAGAIN or EINTR
    WAIT_INTERRUPTED = 3  # a wait for events fails with EINTR
    SHORT_READ = 4  # a read returns at most 64 bytes
    SHORT_WRITE = 5  # a write accepts at most 64 bytes
    BROKEN_CONNECTION = 6  # an outgoing connection fails: ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ...
    LOG_WRITE = 7  # writes to standard error fail: ENOSPC, EIO, EPIPE or EAGAIN


_CLOCK_STEP = struct.Struct("=q")
_UINT32 = struct.Struct("=I")
_RATES_OFFSET = _CLOCK_STEP.size
_COUNTS_OFFSET = _RATES_OFFSET + _UINT32.size * len(SystemFault)
_SIZE = _COUNTS_OFFSET + _UINT32.size * len(SystemFault)


class SystemFaults:
    """The faults of one process; they may be changed while it runs, and survive its restart.

    Attributes:
        path: the control file, which the process maps.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(_SIZE))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), _SIZE)

    def set_probability(self, fault: SystemFault, probability: float) -> None:
        """Set the probability, from 0 to 1, with which a fault is applied to a call."""
        offset = _RATES_OFFSET + _UINT32.size * fault
        _UINT32.pack_into(self._memory, offset, round(probability * FULL_RATE))

    def step_clock(self, seconds: float) -> None:
        """Step the wall clock by a number of seconds, in addition to earlier steps."""
        (before_ns,) = _CLOCK_STEP.unpack_from(self._memory)
        _CLOCK_STEP.pack_into(self._memory, 0, before_ns + round(seconds * 1e9))

    def count_failed_calls(self, fault: SystemFault) -> int:
        """Return the number of calls to which a fault was applied."""
        (failed_calls,) = _UINT32.unpack_from(self._memory, _COUNTS_OFFSET + _UINT32.size * fault)
        return int(failed_calls)

    def close(self) -> None:
        """Unmap the control file; the process keeps its current faults."""
        self._memory.close()
