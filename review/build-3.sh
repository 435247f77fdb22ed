#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain JavaScript without
# dependencies, so that this only checks that each file can be parsed.
set -eu
cd "$(dirname "$0")"
for file in standin-3/*.mjs 1[1-5]/case.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
