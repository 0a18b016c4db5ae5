#!/usr/bin/env bash
# The stand-ins are plain JavaScript; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [0-9]/*.mjs; do node --check "$file"; done
