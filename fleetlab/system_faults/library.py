"""Builds the library that injects system call faults into the process that loads it."""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path

from fleetlab.system_faults.control import SystemFaults

SOURCE = Path(__file__).with_name("system_faults.c")
CONTROL_VARIABLE = "SYSTEM_FAULTS_CONTROL"
_FLAGS = ("-std=gnu11", "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC")


class MissingCompilerError(RuntimeError):
    """There is no C compiler, which is needed for system faults."""


def build_library(folder: Path) -> Path:
    """Compile the library into a folder and return its path.

    Raise MissingCompilerError without a compiler, subprocess.CalledProcessError if the compiler
    fails.
    """
    compiler = os.environ.get("CC") or "cc"
    if shutil.which(compiler) is None:
        raise MissingCompilerError(
            f"C compiler {compiler!r} not found; it is needed to build {SOURCE.name}"
        )
    library = folder / "system_faults.so"
    subprocess.run(
        [compiler, *_FLAGS, "-o", str(library), str(SOURCE), "-ldl"],
        check=True,
        capture_output=True,
        text=True,
    )
    return library


def library_environment(library: Path, faults: SystemFaults) -> dict[str, str]:
    """Return the environment variables for a process to load the library with these faults."""
    return {"LD_PRELOAD": str(library), CONTROL_VARIABLE: str(faults.path)}
