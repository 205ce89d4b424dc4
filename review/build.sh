#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be run: they are plain Python of
# the standard library, so there is nothing to compile or to install.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
