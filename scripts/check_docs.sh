#!/usr/bin/env bash
# Runs every example of the operators' pages, the code blocks marked "sh", as
# written: page by page, each against a fresh fleet with stand-ins. Checks too
# that links lead to files, that the tests GUARANTEES.md names exist and that the
# page of events is that of the code. With FLEET_NET set, the addresses 127.0.x.x
# of the examples are changed to it.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly PAGES=(docs/OPERATIONS.md docs/ADMIN_API.md)
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "${WORK:-}"' EXIT
failed=0

# Prints the page's examples as one script that names each block.
examples() {
  awk -v page="$1" '
    /^```sh$/ { inside = 1; printf "echo \"== %s:%d\" >&2\n", page, NR; next }
    /^```$/ { inside = 0; next }
    inside { print }' "$1" | sed "s/127\.0\./$FLEET_NET./g"
}

check_examples() {
  local page=$1
  WORK=$(mktemp -d)
  fleet_start bookings
  fleet_base >"$WORK/base.json"
  fleet_publish "$WORK/base.json" 2>"$WORK/publish.log"
  fleet_wait_ready move.example /status/ready
  examples "$page" >"$WORK/examples.sh"
  if bash -euo pipefail "$WORK/examples.sh" >"$WORK/out" 2>&1; then
    echo "$page: $(grep -c '^== ' "$WORK/out") examples ran"
  else
    echo "$page: an example failed; its output:"
    tail -20 "$WORK/out"
    failed=1
  fi
  fleet_stop
  rm -rf "$WORK"
}

check_links() {
  local page target
  while IFS=: read -r page target; do
    if [ ! -e "$(dirname "$page")/$target" ]; then
      echo "$page: no file $target"
      failed=1
    fi
  done < <(grep -oE '\]\([A-Za-z_./]+\)' README.md docs/*.md docs/design/*.md |
    sed -E 's/\]\(([^)]*)\)/\1/')
}

check_test_names() {
  local name
  ctest --test-dir build -N >build/tests.txt
  while read -r name; do
    # Typed tests end with the type in angle brackets.
    if ! grep -qE "[ /]$name(/|<|\$)" build/tests.txt; then
      echo "docs/GUARANTEES.md: no test $name"
      failed=1
    fi
  done < <(grep -oE '`[A-Z][A-Za-z]+Test\.[A-Za-z]+`' docs/GUARANTEES.md |
    tr -d '`' | sort -u)
}

check_events_page() {
  if ! build/bin/sequoiactl logs events | diff -q - docs/EVENTS.md >/dev/null; then
    echo "docs/EVENTS.md is not what 'sequoiactl logs events' prints"
    failed=1
  fi
}

check_links
check_test_names
check_events_page
for page in "${PAGES[@]}"; do check_examples "$page"; done
exit $failed
