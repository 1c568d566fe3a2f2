"""Parses the settings of the deployment from the nested JSON of the configuration file.

The JSON is converted to the simulator's `path=value` lines and then parsed by the simulator's
parser, so that both sources have the same checks and defaults.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from sumacpost.model import Settings
from sumacpost.settings_text import parse_settings

_OBJECT_LISTS = ("categories", "plans")  # lists of objects, also when empty


def parse_settings_json(raw: dict[str, Any]) -> Settings:
    """Return the settings in the decoded JSON; raise ValueError, KeyError or TypeError if invalid.

    Names of classes and plans are restored from the JSON, because clients send them unchanged while
    the `path=value` lines replace spaces and commas in a name by underscores.
    """
    settings = parse_settings("\n".join(flatten_settings(raw)))
    classes = tuple(
        replace(request_class, name=str(item.get("name", "")))
        for request_class, item in zip(settings.classes, raw["categories"], strict=True)
    )
    plans = tuple(
        replace(plan, name=str(item.get("name", "")))
        for plan, item in zip(settings.plans, raw["plans"], strict=True)
    )
    return replace(settings, classes=classes, plans=plans)


def flatten_settings(value: object, path: str = "") -> Iterator[str]:
    """Yield nested settings as the `path=value` lines that `parse_settings` reads."""
    match value:
        case dict():
            for key, item in value.items():
                yield from flatten_settings(item, f"{path}.{key}" if path else str(key))
        case list() if _is_object_list(value, path):
            yield f"{path}.count={len(value)}"
            for number, item in enumerate(value):
                yield from flatten_settings(item, f"{path}.{number}")
        case list():
            yield f"{path}=" + ",".join(_format_scalar(item) for item in value)
        case None:
            pass
        case _:
            yield f"{path}={_format_scalar(value)}"


def _is_object_list(value: list[object], path: str) -> bool:
    if not value:
        return path in _OBJECT_LISTS
    return any(isinstance(item, dict) for item in value)


def _format_scalar(value: object) -> str:
    """Format a scalar as in the simulator's text: booleans in lower case, no space or comma."""
    if isinstance(value, bool):
        return str(value).lower()
    return "_".join(str(value).replace(",", " ").split())
