#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. They are Python programs, so that nothing is compiled;
# this checks that the interpreter reads them and that the deploy file's build has been made.
set -euo pipefail
cd "$(dirname "$0")/.."

test -x target/savoryscale || { echo "run the build of deploy/system.toml first"; exit 1; }
for script in review/common-2/*.py $(find review -path 'review/[6-9]/*.py' -o -path 'review/10/*.py'); do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
