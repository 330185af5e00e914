#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8, in standins-2/, are plain JavaScript and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs; do
  node --check "$file"
done
