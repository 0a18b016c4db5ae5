#!/usr/bin/env bash
# The stand-ins of the second review's scripts are plain modules, so nothing is compiled: this checks that Node
# can read them. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
test -s target/peatspan.cjs
for file in review/second/*.mjs review/[4-8]/case.mjs; do
  node --check "$file"
done
