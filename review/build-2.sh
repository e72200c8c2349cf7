#!/bin/sh
# Checks that the stand-ins of cases 4 and later can be read. They need nothing but the
# standard library; the project's programs come from the build of the deploy file.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python3 -m compileall -q "$here/lib-2" "$here/4" "$here/5" "$here/6" "$here/7" "$here/8"
