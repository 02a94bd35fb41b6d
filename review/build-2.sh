#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It comes after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/second ./review/_second
