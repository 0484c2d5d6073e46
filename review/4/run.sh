#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec node review/4/case.js
