#!/usr/bin/env bash
# Builds the stand-ins of the cases: checks that the modules parse, which need no compiling, and compiles the titles of the cases to target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/*.mjs review/[0-9]/*.mjs; do
  node --check "$module"
done
npx esbuild review/[0-9]/title.ts --outbase=review --outdir=target/review --out-extension:.js=.mjs --format=esm --log-level=warning
