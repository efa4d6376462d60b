#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They are Python files that use the
# standard library only, so this checks that they compile; nothing is installed.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for path in ["review/standins2.py", *sorted(map(str, pathlib.Path("review").glob("*/case.py")))]:
    compile(pathlib.Path(path).read_text(), path, "exec")
CHECK
