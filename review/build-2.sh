#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python with the standard library alone, so
# that this only checks that they compile and that the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/harness_2.py review/{6,7,8,9,10}/case.py; do
    if [ -e "$file" ]; then
        python3.11 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
test -d target/deps/tornado
