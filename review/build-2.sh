#!/bin/sh
# Compiles the stand-ins of review/bed-2 and the cases that start them; they need no
# libraries. Called at the repository root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/bed-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -e "$folder/case.py" ]; then
    python3 -m compileall -q "$folder"
  fi
done
