#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are review/standin_2 and the
# scripts of the cases, which need the standard library only, so that there is
# nothing to install; each file is compiled once, to see that it can run.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standin_2/*.py review/{6,7,8,9,10}/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), *sys.argv[1:], "exec")' "$file"
    fi
done
