#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -m review.11.case &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' TERM INT
wait "$pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
