#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies: there is
# nothing to compile, so that this only checks that all of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.js [1-5]/*.js; do node --check "$file"; done
