#!/usr/bin/env bash
# Plays the case with the given number. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Build first: the build of deploy/system.toml, then review/build.sh.
cd "$(dirname "$0")/.." || exit 2
program=review/bin/case$1
for needed in "$program" target/cardamomseam; do
  [ -x "$needed" ] || { echo "$needed is missing: build first"; exit 2; }
done
dir=$(mktemp -d) || exit 2
"$program" "$PWD" "$dir" "review/$1/record.txt"
code=$?
if [ -n "${KEEP:-}" ]; then cp -r "$dir" "$KEEP"; fi
rm -rf "$dir"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
