"""Paths of the project's files."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
