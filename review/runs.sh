#!/bin/sh
# Runs cases five times each, and once without the disruption; prints the exit statuses.
cd "$(dirname "$0")" || exit 2
for n in "$@"; do
    told=''
    for _ in 1 2 3 4 5; do
        "$n/run.sh" > /dev/null 2>&1
        told="$told $?"
    done
    cp "$n/record.txt" "$n/record.keep"
    TROUBLE=0 "$n/run.sh" > /dev/null 2>&1
    echo "case $n: five runs$told; TROUBLE=0: $?"
    mv "$n/record.keep" "$n/record.txt"
done
