#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the programs of the deploy file.
# Their stand-ins (runners, clients, operators) are the Python programs in
# lib-3, so that this only checks that Python runs and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
