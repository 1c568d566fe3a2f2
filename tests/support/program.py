"""The ingress as a separate process."""

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
    """Run `python -m sumacpost` with this configuration.

    log: the file to which standard error is appended; the configuration is written beside it.
    descriptors: the limit on open file descriptors, or None to keep that of this process.
    """
    path = log.with_suffix(".json")
    path.write_text(json.dumps(config))
    limit = "" if descriptors is None else f"ulimit -n {descriptors} && "
    with log.open("ab") as log_file:
        return await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            limit + 'exec "$0" -m sumacpost',
            sys.executable,
            stderr=log_file,
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(path)},
        )


async def end_program(process: asyncio.subprocess.Process) -> None:
    """Kill the process if it is still running."""
    if process.returncode is None:
        process.kill()
        await process.wait()
