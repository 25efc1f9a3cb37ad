#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python of the standard library, which is only compiled.
cd "$(dirname "$0")" || exit 1
for folder in common_2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder" || exit 1
    fi
done
