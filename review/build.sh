#!/bin/sh
# Builds the stand-ins that the scripts start: the review's own and the project's. They
# are Python, so that building is a check that all of them compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review tests/standins
