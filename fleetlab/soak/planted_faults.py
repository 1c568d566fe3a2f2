"""Plants known faults in copies of the program, and tells which of the soak's rules find them."""

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
    """One change of the program.

    Attributes:
        file: which is changed, from the root of the repository.
        old: the text that stands there once.
        new: the text in its place.
    """

    file: str
    old: str
    new: str


class PlantedFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault to be planted.

    Attributes:
        name: what is wrong then.
        rule: the rule of the soak that finds it.
        seed: of a run that does.
        edit: the changes that make it.
    """

    name: str
    rule: str
    seed: int
    edit: list[Edit]


class _PlantedFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fault: list[PlantedFault]


class PlantingError(ValueError):
    """The text that a fault replaces does not stand once in its file."""


def read_planted_faults() -> list[PlantedFault]:
    """Return the list; msgspec.ValidationError if it is none."""
    return msgspec.toml.decode(FAULTS_FILE.read_bytes(), type=_PlantedFaults).fault


def plant(fault: PlantedFault, root: Path) -> None:
    """Plant a fault in a copy of the program; PlantingError if its text is not there once."""
    for edit in fault.edit:
        path = root / edit.file
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise PlantingError(f"{fault.name}: {text.count(edit.old)} places in {edit.file}")
        path.write_text(text.replace(edit.old, edit.new))


def run_planted(fault: PlantedFault) -> SoakResult:
    """Run the soak on a copy of the program with a fault, and return what it found."""
    with tempfile.TemporaryDirectory(prefix="planted-") as name:
        folder = Path(name)
        shutil.copytree(ROOT / PACKAGE, folder / PACKAGE)
        plant(fault, folder)
        options = {"--seeds": fault.seed, "--ingresses": INGRESSES, "--seconds": SECONDS}
        arguments = [str(word) for option in options.items() for word in option]
        subprocess.run(
            [sys.executable, "-m", "fleetlab", "soak", "--out", "out", *arguments],
            cwd=folder,  # from where the copy is imported
            env=os.environ | {"PYTHONPATH": f"{folder}{os.pathsep}{ROOT}"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,  # it fails where it finds something
        )
        line = (folder / "out" / "soak.jsonl").read_bytes()
        return msgspec.json.decode(line, type=SoakResult)


def run_all(name: str = "") -> Iterator[tuple[PlantedFault, dict[str, int]]]:
    """Play each fault whose name contains a text; yield it and how often each rule was broken."""
    for fault in read_planted_faults():
        if name in fault.name:
            found: dict[str, int] = {}
            for violation in run_planted(fault).violations:
                found[violation.rule] = found.get(violation.rule, 0) + 1
            yield fault, found
