#!/bin/sh
# Builds the stand-ins of the scripts: they need Python 3.11's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m py_compile standins.py
for case in */case.py; do
    [ ! -e "$case" ] || python3 -m py_compile "$case"
done
