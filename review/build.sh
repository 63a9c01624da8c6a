#!/bin/sh
# The stand-ins of the scripts are Python files that need nothing but the
# standard library; this checks that they compile.
cd "$(dirname "$0")/.." && exec python3 -c '
import pathlib
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
'
