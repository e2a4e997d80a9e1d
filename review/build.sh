#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/_bin
go build -o review/_bin/ ./review/_standin
