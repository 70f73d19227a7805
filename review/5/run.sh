#!/usr/bin/env bash
# Case 5. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/oriolemill ] || [ ! -x target/review-standin ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
target/review-standin lost-origins review/5/record.txt
exit $?
