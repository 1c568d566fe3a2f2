#!/bin/sh
# The stand-ins need nothing but the Python of the deploy file's build: check that all can be read.
set -eu
cd "$(dirname "$0")"
exec ../.venv/bin/python -B - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("can be read:", path)
END
