#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$folder/../.."
for program in "$root/.bin/review-3" "$root/target/fulmarspindle"; do
  if [ ! -x "$program" ]; then
    echo "missing $(basename "$program"): run the build of deploy/system.toml and review/build-3.sh" >&2
    exit 2
  fi
done
timeout --kill-after=2 118 "$root/.bin/review-3" --case evacuation-after-drill --root "$root" --record "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
