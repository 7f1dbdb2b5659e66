#!/usr/bin/env bash
# Builds the stand-ins of the scripts: all are Python and run from the source.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps"
python3 -B -c "import mangoramp.standins.platform, review.fleet3.world"
