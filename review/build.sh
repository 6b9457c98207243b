#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The programs under test are built by the deploy file's own build line.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-stand ./review/stand
