#!/usr/bin/env bash
# Runs one case: run_case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0
# if it held and 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/.."
program=target/bin/sequoiameshd
standin=target/review/$1
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build with the command of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
work=$(mktemp -d)
rm -f "$2/record.txt"
timeout -k 2 115 "$standin" "$program" "$2/record.txt" "$work"
code=$?
rm -rf "$work"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
