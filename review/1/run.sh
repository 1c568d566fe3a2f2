#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
python="$here/../../.venv/bin/python"
[ -x "$python" ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec "$python" -B "$here/case.py"
