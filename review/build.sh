#!/bin/sh
# The stand-ins of the cases are plain modules that node runs as they are; this checks that all of them can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.mjs review/[1-5]/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
