#!/usr/bin/env bash
# Checks that all stand-ins of the cases can start from what the deploy file's build made.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q review standins
python3 -c "import review.server, review.stage, standins.rows"
