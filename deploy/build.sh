#!/bin/sh
# Installs the package and its locked dependencies into target/deps, byte-compiled
# with and without docstrings: the processes run without them, which saves memory.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.built-from
if ! cat requirements/platform.txt deploy/build.sh | cmp -s - "$stamp"; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --no-warn-conflicts --target "$deps" -r requirements/platform.txt
    python3 -m compileall -q -o 0 -o 2 "$deps" || true
    cat requirements/platform.txt deploy/build.sh > "$stamp"
fi
# Processes may be running from here, so the package is replaced only if it changed.
if ! diff -rq --exclude=__pycache__ src/primrosescale "$deps/primrosescale" \
        > /dev/null 2>&1; then
    rm -rf "$deps/primrosescale"
    cp -r src/primrosescale "$deps/primrosescale"
    python3 -m compileall -q -o 0 -o 2 "$deps/primrosescale"
fi
