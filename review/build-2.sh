#!/usr/bin/env bash
# Prepares the cases 6 to 10. Their stand-ins are plain JavaScript and need no
# build; this checks that each can be loaded and that the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-2.js review/{6,7,8,9,10}/case.js; do
  [ ! -e "$file" ] || node --check "$file"
done
test -f target/node.cjs
node --input-type=module -e "await import('$PWD/review/stand-ins-2.js')"
