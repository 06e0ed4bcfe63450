#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/ ./review/stand2
