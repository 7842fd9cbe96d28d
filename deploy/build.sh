#!/bin/sh
# Puts the package and its locked libraries under target/deps, byte-compiled.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.requirements
if ! cmp -s requirements/platform.txt "$stamp"; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --no-warn-conflicts --target "$deps" -r requirements/platform.txt
    python3 -m compileall -q "$deps" || true
    cp requirements/platform.txt "$stamp"
fi
rm -rf "$deps/primrosescale"
cp -r src/primrosescale "$deps/primrosescale"
python3 -m compileall -q "$deps/primrosescale"
