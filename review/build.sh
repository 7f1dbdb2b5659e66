#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
