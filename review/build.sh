#!/bin/sh
# Builds what the review's scripts start besides the program of deploy/system.toml: nothing. The stand-ins
# are one Python file that needs only the standard library (3.9 or later); this checks that it can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
ast.parse(open("stand/stand.py").read())
P
echo "review: the stand-ins are ready"
