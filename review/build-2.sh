#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start.  They are Python programs that use the dependencies of the deploy
# file's build in target/deps, so that building them means to compile and to import them.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONPYCACHEPREFIX=target/pycache
python3 -m compileall -q review/standins2
for case in review/[4-8]/case.py; do
  [ -e "$case" ] || continue
  python3 -m compileall -q "$case"
done
python3 -c 'import review.standins2.stage'
