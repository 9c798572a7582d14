#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B "$folder/../lib/start.py" "$folder"
