#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test; prints a count last.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
scripts/run_tests.sh
