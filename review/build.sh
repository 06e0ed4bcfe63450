#!/usr/bin/env bash
# Builds the stand-ins of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[1-5]; do
  if [ -e "$folder/main.go" ]; then
    go build -o "review/bin/case$(basename "$folder")" "./$folder"
  fi
done
