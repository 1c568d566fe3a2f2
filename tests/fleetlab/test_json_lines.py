"""Files of results where the disk is full, or a process was killed in the midst of a line."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from fleetlab.json_lines import SEARCH_BLOCK_BYTES, append_line, read_lines


@pytest.fixture
def file(tmp_path: Path) -> Path:
    return tmp_path / "results.jsonl"


def test_values_are_lines_in_their_order(file: Path) -> None:
    append_line(file, {"seed": 1})
    append_line(file, {"seed": 2})
    assert read_lines(file) == [b'{"seed":1}', b'{"seed":2}']


@pytest.mark.parametrize("torn", [b'{"se', b'{"x":"' + b"y" * (2 * SEARCH_BLOCK_BYTES)])
def test_half_a_line_of_a_killed_process_is_no_line_and_is_removed(file: Path, torn: bytes) -> None:
    append_line(file, 1)
    file.write_bytes(file.read_bytes() + torn)
    assert read_lines(file) == [b"1"]
    append_line(file, 2)
    assert file.read_bytes() == b"1\n2\n"


def test_half_a_first_line_is_removed_too(file: Path) -> None:
    file.write_bytes(b'{"se')
    append_line(file, 2)
    assert file.read_bytes() == b"2\n"


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_write_that_fails_half_way_leaves_the_file_as_it_was(
    file: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    append_line(file, 1)
    write, calls = os.write, 0

    def fail_at_the_second(descriptor: int, data: bytes) -> int:
        nonlocal calls
        calls += 1
        if calls > 1:
            raise OSError(error, os.strerror(error))
        return write(descriptor, data[:3])

    with monkeypatch.context() as patched:
        patched.setattr(os, "write", fail_at_the_second)
        with pytest.raises(OSError, match=os.strerror(error)):
            append_line(file, "a longer line")
    assert file.read_bytes() == b"1\n"
    append_line(file, 2)
    assert read_lines(file) == [b"1", b"2"]


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_sync_that_fails_leaves_the_file_as_it_was(
    file: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    append_line(file, 1)

    def fail(_descriptor: int) -> None:
        raise OSError(error, os.strerror(error))

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fail)
        with pytest.raises(OSError, match=os.strerror(error)):
            append_line(file, 2)
    assert read_lines(file) == [b"1"]
