#!/usr/bin/env bash
# Checks that every stand-in of the cases can be loaded with the built
# dependencies.  They are Python sources, so there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -S - <<'P'
import pathlib

import fleet
import rowanport.standins.kvstore

for source in pathlib.Path("review").rglob("*.py"):
    compile(source.read_text(), str(source), "exec")
print("stand-ins:", fleet.__name__, rowanport.standins.kvstore.__name__)
P
