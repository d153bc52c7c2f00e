#!/bin/sh
# The scripts of the cases run review/tools-2 as it is; this only checks that Node.js can read it.
cd "$(dirname "$0")" && for file in tools-2/*.mjs; do node --check "$file" || exit 1; done
