#!/bin/sh
# The stand-ins need nothing but the standard library; this checks that they can be compiled.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
'
