#!/usr/bin/env bash
# Prepares the cases 6 to 10 after the build of the deploy file: the app server, the planners and all
# stand-ins are Python, so nothing is fetched or compiled for the machine; this makes their byte code, and
# fails if a stand-in that a script starts can't be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q birchslip review/common_2.py review/fleet_2.py review/{6,7,8,9,10}/play.py
PYTHONPATH=review .venv/bin/python -c 'import common_2, fleet_2, birchslip.lab.toy, birchslip.lab.wires'
for case in 6 7 8 9 10; do
    sh -n "review/$case/run.sh"
done
echo "the cases 6 to 10 are ready"
