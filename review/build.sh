#!/usr/bin/env bash
# The stand-ins of the cases are Python programs, so nothing is compiled: this checks that they can be read and run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
for file in fleet.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
