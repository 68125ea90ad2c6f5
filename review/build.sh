#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python programs that use the standard
# library only; run this after the build of deploy/system.toml, at any place of the repository.
set -e
cd "$(dirname "$0")/.."
python3.11 -m compileall -q review/harness.py
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
