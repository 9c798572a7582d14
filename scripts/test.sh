#!/usr/bin/env bash
# Installs missing packages, builds, runs every test and prints the number run.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
scripts/run_tests.sh
