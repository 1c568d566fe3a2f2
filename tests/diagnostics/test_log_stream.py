"""Logging never blocks the program, even if its stream is full or closed."""

from __future__ import annotations

import contextlib
import logging
import os
from collections.abc import Generator

import pytest

from sumacpost.diagnostics.log_stream import MAX_RECORD_CHARACTERS, DroppingLogHandler

RECORD = logging.LogRecord("x", logging.INFO, "", 0, "line %d", (7,), None)


@pytest.fixture
def pipe() -> Generator[tuple[int, int], None, None]:
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def fill_pipe(writer: int) -> None:
    """Fill the pipe to the last byte."""
    size = 4096
    while size:
        try:
            os.write(writer, b"x" * size)
        except BlockingIOError:
            size //= 2


def drain_pipe(reader: int) -> None:
    """Read all bytes that are in the pipe."""
    os.set_blocking(reader, False)
    with contextlib.suppress(BlockingIOError):
        while os.read(reader, 4096):
            pass


def test_a_line_is_written_to_the_stream_immediately(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    DroppingLogHandler(writer).emit(RECORD)
    assert os.read(reader, 100).endswith(b" INFO line 7\n")


def test_a_long_record_is_cut_short(pipe: tuple[int, int]) -> None:
    # Guards against lines as long as a peer or a list makes them, which are copied to be written.
    reader, writer = pipe
    record = logging.LogRecord("x", logging.INFO, "", 0, "x" * 1_000_000, (), None)
    DroppingLogHandler(writer).emit(record)
    written = os.read(reader, 65_536)
    assert len(written) < MAX_RECORD_CHARACTERS + 100
    assert written.endswith(b" [cut short: characters=1000029]\n")


def test_lines_are_dropped_and_counted_while_the_pipe_is_full(
    pipe: tuple[int, int],
) -> None:
    reader, writer = pipe
    handler = DroppingLogHandler(writer)
    fill_pipe(writer)
    for _ in range(3):
        handler.emit(RECORD)
    assert handler.dropped == 3
    drain_pipe(reader)
    handler.emit(RECORD)
    assert os.read(reader, 200).endswith(b"line 7\nlog lines dropped: count=3\n")
    assert handler.dropped == 0


@pytest.mark.parametrize("closed", ["reader", "writer"])
def test_a_closed_stream_raises_no_error(pipe: tuple[int, int], closed: str) -> None:
    reader, writer = pipe
    handler = DroppingLogHandler(writer)
    os.close(reader if closed == "reader" else writer)
    handler.emit(RECORD)
    assert handler.dropped == 1
