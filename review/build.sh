#!/bin/sh
# Builds the stand-ins of the cases: they are Python and use what the deploy file's build has put under target/.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/pycache python3 -m compileall -q review tests/fakes || exit 1
PYTHONPATH=target/deps:. exec python3 -B -c "import review.standins.stage"
