#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, behind the build of the deploy file: all stand-ins are
# Python of this folder and need no package, so they are only compiled here.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 1
exec .venv/bin/python -m compileall -q review
