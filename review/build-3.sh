#!/bin/sh
# The stand-ins of review/bed-3 are Python files that use the standard library alone, so
# that nothing is built; this checks that they can be read here.
set -e
cd "$(dirname "$0")"
python3 - bed-3/bed.py 1*/check.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
END
