#!/bin/sh
# Builds the stand-ins of the cases. They are plain programs for Node.js that
# use no package, so there is nothing to compile: only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in stand-ins.js [1-5]/case.js; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
