#!/usr/bin/env bash
# Builds the program that runs the scripts of the cases. The build line of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin/platform
