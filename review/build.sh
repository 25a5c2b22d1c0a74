#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The project itself is built as its deploy file says.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/standin .
