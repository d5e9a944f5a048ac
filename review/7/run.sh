#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it can't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
timeout -k 5 118 python3 -m review.7.case
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
