#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start, after the build of the deploy file.
# Entries, callers, store and servers are Python, so that there is only bytecode to make.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q boragestream tests/standins review/harness
python3 -c "import review.harness.small_site, boragestream.daemon.route_process"
