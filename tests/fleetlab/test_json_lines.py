"""Files of JSON lines after failed writes, and after a process was killed during a write."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from fleetlab.json_lines import SEARCH_BLOCK_BYTES, append_line, read_lines


@pytest.fixture
def file(tmp_path: Path) -> Path:
    return tmp_path / "results.jsonl"


def test_values_are_appended_as_lines_in_order(file: Path) -> None:
    append_line(file, {"seed": 1})
    append_line(file, {"seed": 2})
    assert read_lines(file) == [b'{"seed":1}', b'{"seed":2}']


@pytest.mark.parametrize("partial_line", [b'{"se', b'{"x":"' + b"y" * (2 * SEARCH_BLOCK_BYTES)])
def test_an_incomplete_last_line_is_ignored_and_then_removed(
    file: Path, partial_line: bytes
) -> None:
    append_line(file, 1)
    file.write_bytes(file.read_bytes() + partial_line)
    assert read_lines(file) == [b"1"]
    append_line(file, 2)
    assert file.read_bytes() == b"1\n2\n"


def test_an_incomplete_first_line_is_removed(file: Path) -> None:
    file.write_bytes(b'{"se')
    append_line(file, 2)
    assert file.read_bytes() == b"2\n"


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_partial_write_that_fails_leaves_the_file_unchanged(
    file: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    append_line(file, 1)
    write, calls = os.write, 0

    def fail_at_second_call(descriptor: int, data: bytes) -> int:
        nonlocal calls
        calls += 1
        if calls > 1:
            raise OSError(error, os.strerror(error))
        return write(descriptor, data[:3])

    with monkeypatch.context() as patched:
        patched.setattr(os, "write", fail_at_second_call)
        with pytest.raises(OSError, match=os.strerror(error)):
            append_line(file, "a longer line")
    assert file.read_bytes() == b"1\n"
    append_line(file, 2)
    assert read_lines(file) == [b"1", b"2"]


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_failed_sync_leaves_the_file_unchanged(
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
