"""Parsing and validation of the configuration file."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from sumacpost.config import read_config
from sumacpost.errors import ConfigError
from sumacpost.settings_json import flatten_settings
from sumacpost.settings_text import parse_settings
from tests.support.configuration import MINIMAL_CONFIG, SETTINGS
from tests.support.paths import ROOT


def test_settings_are_flattened_to_lines() -> None:
    settings = {
        "a": {"b": True, "c": 1.5},
        "d": [{"e": "x, y"}, {"e": "z"}],
        "f": ["p", "q r"],
        "g": [],
        "h": None,
        "plans": [],
    }
    assert list(flatten_settings(settings)) == [
        "a.b=true",
        "a.c=1.5",
        "d.count=2",
        "d.0.e=x_y",
        "d.1.e=z",
        "f=p,q_r",
        "g=",
        "plans.count=0",
    ]


def test_flattened_settings_parse_to_the_values_of_the_file() -> None:
    settings = parse_settings("\n".join(flatten_settings(SETTINGS)))
    assert [c.name for c in settings.classes] == ["ledger-read", "payment-book", "vat-filing"]
    assert settings.clients_mark_retries
    assert settings.plans[1].rate == 100


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "nowhere"),
        ({"discovery": 7}, "7"),
        ({"settings": {}}, "categories.count"),
        ({"seed": "xyz"}, "xyz"),
        ({"listen": None}, "None"),
        ({"limits": {"sockets": 9}}, "sockets"),
        ({"settings": 3}, "int"),
        ({"settings": SETTINGS | {"balancers": -1}}, "gateways"),
        ({"known": {"rev": 1}}, "targets"),
    ],
)
def test_error_names_the_invalid_value(change: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_config(json.dumps(MINIMAL_CONFIG | change))


@pytest.mark.parametrize("text", [None, "", "{", "[]", '{"listen": "127.0.0.1:0"}', "\udcff"])
def test_invalid_file_ends_the_program_with_one_line_on_stderr(
    text: str | None, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_bytes(text.encode(errors="surrogateescape"))
    done = subprocess.run(
        [sys.executable, "-m", "sumacpost"],
        cwd=ROOT,
        env=os.environ | {"RELAY_CONFIG": str(path)},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith(b"sumacpost: ")
    assert done.stderr.count(b"\n") == 1


@pytest.mark.parametrize(
    "permissions",
    [
        {"dial_timeout": -1},
        {"dial_timeout": float("nan")},
        {"conn_idle": 0},
        {"conn_idle": float("inf")},
        {"dial_timeout": "soon"},
    ],
)
def test_timeouts_must_be_positive_and_finite(permissions: dict[str, Any]) -> None:
    settings = SETTINGS | {"permissions": SETTINGS["permissions"] | permissions}
    with pytest.raises(ConfigError):
        read_config(json.dumps(MINIMAL_CONFIG | {"settings": settings}))


def test_max_response_size_is_proportional_to_the_memory_limit() -> None:
    def max_response_bytes(memory_mb: int) -> int:
        limits = {"limits": {"memory_mb": memory_mb}}
        return read_config(json.dumps(MINIMAL_CONFIG | limits)).max_response_bytes

    small = max_response_bytes(32)
    large = max_response_bytes(128)
    assert small > 600_000
    assert 4 * small == pytest.approx(large, abs=4)
    assert large < 3_000_000
