#!/usr/bin/env bash
# Plays each day of deploy/days and of this folder on each site: test/days/play.sh BENCH SITE [SITE ...]
# Days in this folder suit only some deployments, those in deploy/days every one.
# BENCH is the users' bench program; it is not part of this repository, so CI does not run this.
set -euo pipefail
bench=$1
shift
cd "$(dirname "$0")/../.."
for site in "$@"; do
  for day in deploy/days/*.toml test/days/*.toml; do
    echo "== $(basename "$site") $(basename "$day")"
    "$bench" run "$site" "$day" --why "own day $(basename "$day" .toml)" | sed -n '2,3p'
  done
done
