#!/bin/sh
# Build the stand-ins of the cases from 6 on. They are Python without any dependency, so
# that there is nothing to build beyond a check that each file compiles.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins2.py review/[6-9]/case.py review/10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
