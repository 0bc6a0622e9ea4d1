#!/bin/sh
# The stand-ins of the cases are Python programs that need only the standard library: compiled here, so that a
# fault in one shows before a case runs.
cd "$(dirname "$0")/.." && .venv/bin/python -m py_compile review/*.py review/[123]/*.py
