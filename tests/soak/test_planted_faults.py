"""The list of planted faults matches the program, and the soak checks each rule that it names."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from fleetlab.soak.planted_faults import (
    Edit,
    PlantedFault,
    PlantingError,
    plant,
    read_planted_faults,
)
from tests.soak.test_oracles import VIOLATIONS
from tests.support.paths import ROOT

FAULTS = read_planted_faults()


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_fault_can_be_planted_and_the_program_still_compiles(
    fault: PlantedFault, tmp_path: Path
) -> None:
    """Guards against source changes after which a fault's text no longer occurs in its file."""
    for edit in fault.edit:
        copy = tmp_path / edit.file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / edit.file, copy)
    plant(fault, tmp_path)
    for edit in fault.edit:
        text = (tmp_path / edit.file).read_text()
        assert text != (ROOT / edit.file).read_text()
        compile(text, edit.file, "exec")


def test_missing_text_is_an_error(tmp_path: Path) -> None:
    """Guards against a run without the fault that it is meant to detect."""
    (tmp_path / "program.py").write_text("other\n")
    fault = PlantedFault("none", "lost", 1, [Edit("program.py", old="text", new="")])
    with pytest.raises(PlantingError, match=r"occurs 0 times in program\.py"):
        plant(fault, tmp_path)


def test_every_listed_rule_has_an_oracle() -> None:
    """Guards against a rule that no oracle reports, so that its fault could never be found."""
    assert {fault.rule for fault in FAULTS} <= {rule for rule, _ in VIOLATIONS.values()}
