#!/usr/bin/env bash
# Plays the case; see claim.txt.  Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.standins2.stage" || exit 2
exec python3 review/8/case.py
