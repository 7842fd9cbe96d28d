#!/bin/sh
# Installs the package and its locked dependencies into target/deps, byte-compiled
# with and without docstrings: the processes run without them, which saves memory.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.built-from
# Libraries are built for one kind of machine and one interpreter.
built_from() {
    uname -m
    python3 -VV
    cat requirements/platform.txt deploy/build.sh
}
if ! built_from | cmp -s - "$stamp"; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --no-warn-conflicts --target "$deps" -r requirements/platform.txt
    python3 -m compileall -q -o 0 -o 2 "$deps" || true
    built_from > "$stamp"
fi
# Processes may be running from here, so the package is replaced only if it changed.
if ! diff -rq --exclude=__pycache__ src/primrosescale "$deps/primrosescale" \
        > /dev/null 2>&1; then
    rm -rf "$deps/primrosescale"
    cp -r src/primrosescale "$deps/primrosescale"
    python3 -m compileall -q -o 0 -o 2 "$deps/primrosescale"
fi
