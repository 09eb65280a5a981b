#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript modules without dependencies, so that building them means checking that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins/*.mjs [0-9]/*.mjs; do
  node --check "$module"
done
