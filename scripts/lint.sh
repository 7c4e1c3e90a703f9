#!/usr/bin/env bash
# Checks format and lints the project's own files, or only those below the
# folders given as arguments. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
folders=("$@")
if [ ${#folders[@]} -eq 0 ]; then
  folders=(libs platform apps standins bench tests)
fi
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  -- "${folders[@]}" | grep -E '\.(cc|h)$')
# Names of the platform stay in its adapter and the stand-in for its store.
names='X-Target-Instance|X-Caller-Service|X-Not-Executed|X-Deadline-Ms'
names+='|X-Response-Signature|X-Server-Load|Server-Limit|Server-Leaving|Instances\.(Heartbeat|Deregister)'
names+='|SEQUOIASTAGE_BOOT|log-(append|read|newest|trim)'
names+='|X-Key|X-Tenant|ratePerS|apiKeys|quotaWindowS'
names+='|keyed\.(op|servers|status)|pathPrefix|trafficSplit|targetLatencyS'
if git grep -nE "$names" -- libs apps bench tests examples standins \
  ':!standins/platform_store'; then
  echo "lint: names of the platform outside platform/"
  exit 1
fi
clang-format --dry-run -Werror "${files[@]}"
cmake -S . -B build -G Ninja >/dev/null
pattern=$(IFS='|'; echo "${folders[*]}")
run-clang-tidy -quiet -j "${SEQUOIASTAGE_LINT_JOBS:-$(nproc)}" -p build \
  "$(pwd)/(${pattern})/.*" 2>/dev/null >build/lint.txt ||
  { grep -aE 'error|warning' build/lint.txt | sort -u; exit 1; }
echo "lint: clean (${#files[@]} files)"
