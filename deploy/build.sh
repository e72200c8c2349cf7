#!/bin/sh
# Puts all that the programs need under target/deps: libraries, own packages, bytecode.
set -eu
deps=target/deps
libraries="aioprometheus h11 loguru orjson returns sortedcontainers trio xxhash"
if [ ! -e "$deps/installed" ] || [ constraints.txt -nt "$deps/installed" ]; then
    python3 -m pip install -q -U --target "$deps" -c constraints.txt $libraries
    touch "$deps/installed"
fi
for source in packages/gooseberryyoke/src packages/gooseberryyoke-daemon/src platform; do
    cp -r "$source"/gooseberryyoke* "$deps/"
done
python3 -m compileall -q "$deps"/gooseberryyoke*
