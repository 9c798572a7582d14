#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that use only the
# standard library of Python 3.11 or later, so they are only compiled to find
# errors; the programs under test are those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [1-5]/case.py <<'PY'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
