"""Results as JSON lines: command, machine and commit of each point, and its measured figures."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path

import msgspec

from fleetlab.json_lines import append_line, read_lines
from fleetlab.process_stats import machine_mb

GIT_TIMEOUT_S = 10

# Figures by name, which ends in the unit if there is one. None: could not be measured.
Figures = dict[str, float | None]


class Machine(msgspec.Struct, frozen=True):
    """The machine on which a result was measured."""

    cores: int
    memory_mb: int
    python: str


class Result(msgspec.Struct, frozen=True):
    """The figures of one point of an axis."""

    command: str
    axis: str
    point: float
    seed: int
    figures: Figures
    commit: str
    machine: Machine
    note: str = ""


class ResultError(ValueError):
    """A line of a results file is invalid; the message gives the file and the line number."""


def describe_machine() -> Machine:
    """Return the number of cores, the memory and the Python version of this machine."""
    return Machine(os.cpu_count() or 1, round(machine_mb()), platform.python_version())


def current_commit() -> str:
    """Return the commit of the code, with + if tracked files differ; empty if it is unknown."""
    try:
        commit = _git("rev-parse", "HEAD")
        changed = _git("status", "--porcelain", "--untracked-files=no")
    except (OSError, subprocess.SubprocessError):
        return ""
    return commit + ("+" if changed else "")


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        timeout=GIT_TIMEOUT_S,
        check=True,
    )
    return completed.stdout.strip()


def append_result(path: Path, result: Result) -> None:
    """Append a result to a file as one line; raise OSError if it cannot be written."""
    append_line(path, result)


def read_results(path: Path) -> list[Result]:
    """Return the results in a file, or in all *.jsonl files of a folder.

    Raise ResultError at the first line that is not a valid result.
    """
    files = sorted(path.glob("*.jsonl")) if path.is_dir() else [path]
    return [result for file in files for result in _read_file(file)]


def _read_file(file: Path) -> list[Result]:
    results = []
    for number, line in enumerate(read_lines(file), 1):
        try:
            results.append(msgspec.json.decode(line, type=Result))
        except msgspec.DecodeError as error:
            raise ResultError(f"{file}, line {number}: {error}") from error
    return results
