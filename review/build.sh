#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -trimpath -o review/bin/standin ./review/standin
