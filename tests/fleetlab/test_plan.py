"""The tables of the plan, and the independence of the program from the lab."""

from __future__ import annotations

import re

import pytest

from fleetlab.plan import DEFAULT_POINTS, MAX_POINTS, PLAN_SIZES
from fleetlab.site import config_text
from fleetlab.sweep import make_point
from sumacpost.config import read_config
from tests.fleetlab.support import UNUSED_ENDPOINTS
from tests.support.paths import ROOT


@pytest.mark.parametrize("axis", DEFAULT_POINTS)
def test_every_axis_has_points_and_a_valid_configuration(axis: str) -> None:
    points = DEFAULT_POINTS[axis]
    assert len(points) >= 4
    assert max(points) <= MAX_POINTS[axis]
    assert axis in PLAN_SIZES
    point = make_point(axis, points[0])
    config = read_config(
        config_text(index=0, gateways=9, discovery=UNUSED_ENDPOINTS[0], classes=point.classes)
    )
    assert len(config.settings.classes) == point.classes


def test_the_program_does_not_depend_on_the_lab() -> None:
    """The program must run without the lab and the libraries that only the lab needs."""
    for path in ROOT.glob("sumacpost/**/*.py"):
        assert not re.search(r"fleetlab|numpy|msgspec|hdrh|click|\brich\b", path.read_text()), path
