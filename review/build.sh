#!/bin/bash
# The stand-ins are plain Node.js and Python programs that need no building; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
python3 -c "compile(open('standins/slowClient.py').read(), 'slowClient.py', 'exec')"
