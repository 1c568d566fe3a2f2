"""Results as JSON lines: each says what was run, where, and what came of it."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path

import msgspec

from fleetlab.measure import machine_mb

Figures = dict[str, float | None]


class Machine(msgspec.Struct, frozen=True):
    """Where a result was measured."""

    cores: int
    memory_mb: int
    python: str


class Result(msgspec.Struct, frozen=True):
    """One point of an axis; a figure that could not be measured is None. Units end each figure's name."""

    command: str
    axis: str
    point: float
    seed: int
    figures: Figures
    commit: str
    machine: Machine
    note: str = ""


class BadResult(ValueError):
    """A file of results can't be read; the message names file and line."""


def this_machine() -> Machine:
    """Cores, memory and Python of this machine."""
    return Machine(os.cpu_count() or 1, round(machine_mb()), platform.python_version())


def this_commit() -> str:
    """The commit that the code stands at, with + where files differ from it; empty if that is not known."""
    here = Path(__file__).parent
    try:
        words = [
            subprocess.run(
                ["git", *arguments],
                cwd=here,
                capture_output=True,
                text=True,
                timeout=10,
                check=True,
            ).stdout
            for arguments in (
                ["rev-parse", "HEAD"],
                ["status", "--porcelain", "--untracked-files=no"],
            )
        ]
    except (OSError, subprocess.SubprocessError):
        return ""
    return words[0].strip() + ("+" if words[1].strip() else "")


def append(path: Path, result: Result) -> None:
    """Add one line to a file of results."""
    with path.open("ab") as file:
        file.write(msgspec.json.encode(result) + b"\n")


def read(path: Path) -> list[Result]:
    """The results of a file, or of all *.jsonl of a folder; BadResult on the first line that is none."""
    files = sorted(path.glob("*.jsonl")) if path.is_dir() else [path]
    results = []
    for file in files:
        for number, line in enumerate(file.read_bytes().splitlines(), 1):
            try:
                results.append(msgspec.json.decode(line, type=Result))
            except msgspec.DecodeError as error:
                raise BadResult(f"{file}, line {number}: {error}") from error
    return results
