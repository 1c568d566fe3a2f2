"""Files of one JSON value per line, readable even after a failed or incomplete write."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

NEWLINE = b"\n"
SEARCH_BLOCK_BYTES = 64 * 1024  # read at a time to find the end of the last complete line


def append_line(path: Path, value: object) -> None:
    """Append a value as one line, and return when it is on the disk.

    An incomplete last line, left by a killed process, is removed first. Raise OSError if the line
    cannot be written; all complete lines are kept and no part of the new one.
    """
    data = msgspec.json.encode(value) + NEWLINE
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o666)
    try:
        size = _end_of_last_line(descriptor)
        os.ftruncate(descriptor, size)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        except OSError:
            os.ftruncate(descriptor, size)
            raise
    finally:
        os.close(descriptor)


def read_lines(path: Path) -> list[bytes]:
    """Return the complete lines of a file; a last line without a newline is left out."""
    return path.read_bytes().split(NEWLINE)[:-1]


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


def _end_of_last_line(descriptor: int) -> int:
    """Return the size of the file without an incomplete last line."""
    end = os.fstat(descriptor).st_size
    while end:
        start = max(0, end - SEARCH_BLOCK_BYTES)
        newline_at = os.pread(descriptor, end - start, start).rfind(NEWLINE)
        if newline_at >= 0:
            return start + newline_at + 1
        end = start
    return 0
