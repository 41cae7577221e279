#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's own programs come from the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/cases ./review/_cases/platform
