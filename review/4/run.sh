#!/usr/bin/env bash
# Case 4: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption. Build first: the deploy file's build, then review/build.sh.
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/vpierd ] || { echo "build first" >&2; exit 2; }
# The program is the one that the deploy file runs on each machine.
# What was sent, answered and run goes to record.txt in this folder.
review/bin/standin case probation target/vpierd "$dir/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
