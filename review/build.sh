#!/usr/bin/env bash
# Prepares every stand-in that the cases start. They are Python programs of this folder and need only the standard
# library, so there is nothing to compile; this checks that they can be read by the Python that is installed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio, sys; sys.exit("Python 3.9 or newer is needed") if sys.version_info < (3, 9) else None'
