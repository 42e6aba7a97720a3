#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the deployed program: their
# stand-ins, which need Python only. Nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins2.py rig2.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
