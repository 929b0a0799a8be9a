#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 and the project's own stand-ins that they import.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p review
