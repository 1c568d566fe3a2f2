"""The list of planted faults fits the program, and each rule that it names is one of the soak's."""

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
def test_a_fault_can_be_planted_and_the_program_still_compiles(
    fault: PlantedFault, tmp_path: Path
) -> None:
    for edit in fault.edit:
        copy = tmp_path / edit.file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / edit.file, copy)
    plant(fault, tmp_path)
    for edit in fault.edit:
        text = (tmp_path / edit.file).read_text()
        assert text != (ROOT / edit.file).read_text()
        compile(text, edit.file, "exec")


def test_a_text_that_is_not_there_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "program.py").write_text("other\n")
    fault = PlantedFault("none", "lost", 1, [Edit("program.py", old="text", new="")])
    with pytest.raises(PlantingError, match="0 places"):
        plant(fault, tmp_path)


def test_every_rule_of_the_list_has_an_oracle() -> None:
    assert {fault.rule for fault in FAULTS} <= {rule for rule, _ in VIOLATIONS.values()}
