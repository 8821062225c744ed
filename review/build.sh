#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain Python, compiled to show that it is sound.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
