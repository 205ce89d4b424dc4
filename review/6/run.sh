#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../standins-2" \
    exec python3 "$here/case.py"
