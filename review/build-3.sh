#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the deploy file's build: the stand-ins,
# the project's own too, which need no more than Python and target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=review/common-3:target/deps:.:platform PYTHONDONTWRITEBYTECODE=1
python3 -c 'import poison, world, users_platform.standins'
