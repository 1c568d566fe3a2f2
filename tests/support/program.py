"""The ingress as a program of its own."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

from tests.support.paths import ROOT


async def start_program(
    config: dict[str, Any], log: Path, descriptors: int | None = None
) -> asyncio.subprocess.Process:
    """python -m sumacpost with this configuration, which may hold no more than so many descriptors."""
    path = log.with_suffix(".json")
    path.write_text(json.dumps(config))
    bound = "" if descriptors is None else f"ulimit -n {descriptors} && "
    with log.open("ab") as errors:
        return await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            bound + 'exec "$0" -m sumacpost',
            sys.executable,
            stderr=errors,
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(path)},
        )


async def end_program(process: asyncio.subprocess.Process) -> None:
    """Kill it if it is still there."""
    if process.returncode is None:
        process.kill()
        await process.wait()
