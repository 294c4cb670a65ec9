#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the deploy file's
# build: the stand-ins are Python, so they are compiled and imported once.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of the deploy file first"; exit 1; }
PYTHONPATH=target/deps:. python3 - <<'PY'
import ast
import pathlib
import sys

for name in ("world2.py", "runner2.py", *(f"{n}/case.py" for n in range(6, 11))):
    path = pathlib.Path("review", name)
    if path.exists():
        ast.parse(path.read_text(), name)
sys.path.insert(0, "review")
import rowanport.standins.kvstore  # noqa: E402, F401
import world2  # noqa: E402, F401

print("stand-ins are ready")
PY
