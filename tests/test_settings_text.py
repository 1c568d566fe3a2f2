"""The settings text: values are parsed, and errors name the invalid key."""

from __future__ import annotations

import pytest

from sumacpost.errors import CodecError
from sumacpost.model import Idempotency, SizeMeaning
from sumacpost.settings_text import parse_settings
from tests.simulator.examples import SETTINGS_TEXT

REQUIRED_KEYS = [
    line.partition("=")[0]
    for line in SETTINGS_TEXT.splitlines()
    if line[:9] not in ("telemetry", "something") and "group" not in line and "dedup" not in line
]


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = parse_settings(SETTINGS_TEXT)
    assert (settings.gateways, settings.index, settings.drain_grace_ms) == (3, 2, 500)
    assert settings.classes[0].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert settings.report_fields == ("backlog", "utilization")


@pytest.mark.parametrize(
    ("lines", "meaning"),
    [
        ("weights=off\n", SizeMeaning.NONE),
        ("weights=nominal\n", SizeMeaning.REGISTERED),
        ("weights=rough\n", SizeMeaning.APPROXIMATE),
        ("weights=live\n", SizeMeaning.AVAILABLE),
        ("weights=odd\n", SizeMeaning.NONE),
        ("", SizeMeaning.NONE),
    ],
)
def test_the_meaning_of_sizes_is_read_and_an_unknown_one_is_none(
    lines: str, meaning: SizeMeaning
) -> None:
    assert parse_settings(lines + SETTINGS_TEXT).size_meaning is meaning


@pytest.mark.parametrize("key", REQUIRED_KEYS)
def test_a_missing_required_key_is_named(key: str) -> None:
    lines = SETTINGS_TEXT.splitlines()
    text = "\n".join(line for line in lines if not line.startswith(key + "="))
    with pytest.raises(CodecError, match=key.replace(".", r"\.")):
        parse_settings(text)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("balancers=3", "balancers=x", "balancers"),
        ("balancers=3", "balancers=2.5", "balancers"),
        ("balancers=3", "balancers=2", "index"),
        ("aim=1000", "aim=nan", "aim"),
        ("=token", "=odd", "idempotency"),
        ("group=cell", "group=town", "group"),
        ("plans.count=1", "plans.count=0", "plans"),
        ("balancers=3", "oops", "line 1"),
    ],
)
def test_an_invalid_value_is_named(old: str, new: str, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        parse_settings(SETTINGS_TEXT.replace(old, new))
