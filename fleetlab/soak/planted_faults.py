"""Plants known faults in copies of the program and reports which soak rules detect them."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import msgspec

from fleetlab.soak.run import SoakResult

ROOT = Path(__file__).parents[2]
FAULTS_FILE = Path(__file__).with_name("planted_faults.toml")
PACKAGE = "sumacpost"
INGRESSES = 8
SECONDS = 10


class Edit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One text replacement in the program's source.

    Attributes:
        file: the path of the file, relative to the root of the repository.
        old: the text to replace, which occurs once in the file.
        new: the replacement.
    """

    file: str
    old: str
    new: str


class PlantedFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault that can be planted in the program.

    Attributes:
        name: a description of the fault.
        rule: the soak rule that detects the fault.
        seed: the seed of a run that violates the rule.
        edit: the text replacements that make the fault.
    """

    name: str
    rule: str
    seed: int
    edit: list[Edit]


class _PlantedFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fault: list[PlantedFault]


class PlantingError(ValueError):
    """The text that a fault replaces does not occur exactly once in its file."""


def read_planted_faults() -> list[PlantedFault]:
    """Return the list of planted faults.

    Raise msgspec.ValidationError if the file does not match the expected structure.
    """
    return msgspec.toml.decode(FAULTS_FILE.read_bytes(), type=_PlantedFaults).fault


def plant(fault: PlantedFault, root: Path) -> None:
    """Plant a fault in a copy of the program.

    Raise PlantingError if a text to replace does not occur exactly once.
    """
    for edit in fault.edit:
        path = root / edit.file
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise PlantingError(
                f"{fault.name}: text to replace occurs {text.count(edit.old)} times in {edit.file}"
            )
        path.write_text(text.replace(edit.old, edit.new))


def run_planted(fault: PlantedFault) -> SoakResult:
    """Run the soak on a copy of the program with a fault, and return its result."""
    with tempfile.TemporaryDirectory(prefix="planted-") as path:
        folder = Path(path)
        shutil.copytree(ROOT / PACKAGE, folder / PACKAGE)
        plant(fault, folder)
        options = {"--seeds": fault.seed, "--ingresses": INGRESSES, "--seconds": SECONDS}
        arguments = [str(word) for option in options.items() for word in option]
        subprocess.run(
            [sys.executable, "-m", "fleetlab", "soak", "--out", "out", *arguments],
            cwd=folder,  # the copy in this folder is the one that is imported
            env=os.environ | {"PYTHONPATH": f"{folder}{os.pathsep}{ROOT}"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,  # the command fails if it detects a violation
        )
        line = (folder / "out" / "soak.jsonl").read_bytes()
        return msgspec.json.decode(line, type=SoakResult)


def run_all(text: str = "") -> Iterator[tuple[PlantedFault, dict[str, int]]]:
    """Run each fault whose name contains a text; yield it with its violations, counted by rule."""
    for fault in read_planted_faults():
        if text in fault.name:
            counts: dict[str, int] = {}
            for violation in run_planted(fault).violations:
                counts[violation.rule] = counts.get(violation.rule, 0) + 1
            yield fault, counts
