#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Exit code: 1 broken, 0 kept,
# 2 not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:$PWD" exec python3 review/3/case.py
