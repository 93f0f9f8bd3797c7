#!/bin/sh
# Builds the stand-ins of the cases of the third review, which are written in Python: checks that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 - review/testbed3.py test/error/gatewayfleet.py scripts/portlease.py review/1[1-5]/case.py <<'CHECK'
import ast
import os
import sys
for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as file:
            ast.parse(file.read(), name)
CHECK
