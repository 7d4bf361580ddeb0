#!/bin/sh
# The stand-ins of cases 4 to 8 are plain Python without libraries: compiles them, so
# that an error in them shows before a case runs. Needs Python 3.11.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=${TMPDIR:-/tmp}/review-2-cache python3 -m py_compile \
    standins_2.py ./[4-8]/case.py
