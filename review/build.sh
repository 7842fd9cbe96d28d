#!/bin/sh
# The stand-ins of the cases are plain Python without dependencies; this checks that
# each file compiles. The router itself is built by deploy/build.sh.
set -eu
cd "$(dirname "$0")"
for file in standins.py ./*/play.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
