#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.."
exec timeout -k 5 115 node review/7/case.mjs
