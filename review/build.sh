#!/bin/sh
# Build the stand-ins of the cases. They are Python without any dependency, so that
# there is nothing to build beyond a check that each file compiles.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins.py review/*/case.py
