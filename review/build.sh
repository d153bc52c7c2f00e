#!/bin/sh
# The stand-ins in lib/ and the cases are plain JavaScript for Node.js, without dependencies; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	if [ -f "$file" ]; then node --check "$file"; fi
done
