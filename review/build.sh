#!/usr/bin/env bash
# Builds what the scripts start: the deployed program, as the deploy file does, and the
# stand-ins in rig.py, which need only the standard library of Python 3.11.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
scripts/build-deps
for file in review/rig.py review/[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "stand-ins of the review are ready"
