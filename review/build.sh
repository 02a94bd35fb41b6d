#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program of the hosts
# comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-trial ./review/_trial
