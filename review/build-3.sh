#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain JavaScript: nothing is compiled, each is only checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file" || exit 1
done
