#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review-2 .
