#!/usr/bin/env bash
# Bundles the project's stand-ins that the scripts of review/11 to review/15
# start. Needs only the packages that the build of deploy/system.toml installs.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/stand-ins-3/build.js
