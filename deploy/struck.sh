#!/usr/bin/env bash
# Says which faults of days of our own strike nothing, or keep a day from being played at all: such a day guards nothing.
#
#   deploy/struck.sh BENCH SITE DAY...
#
# BENCH is the users' bench, DAY a file as in deploy/days. It prints a line for each day and ends with 1 if a fault struck nothing.
set -euo pipefail
bench=$1 site=$2
shift 2
missed=0
for day in "$@"; do
  report="$("$bench" run "$site" "$day" --jobs 1 --why "does each fault of the day strike something" 2>&1)" || true
  happened="$(sed -n '/^what happened/,/^seen/p' <<<"$report" | grep ' s to ' || true)"
  # A fault of instances or endpoints is followed by what it struck.
  nothing="$(grep -E ' (herd_kill|node_[a-z]+|roll_term|srv_[a-z]+|zone_cut|core_cut|release|scale_in|cold_return|reset_conns|evacuate)( \([^)]*\))? *$' <<<"$happened" | grep -v '(by a request)' || true)"
  name="$(basename "$day" .toml) at $(basename "$site" .toml)"
  if [ -z "$happened" ]; then
    echo "$name: not played: $(tail -n 1 <<<"$report")"
  elif [ -n "$nothing" ]; then
    echo "$name: struck nothing:"
    echo "$nothing"
    missed=1
  else
    echo "$name: $(grep -c . <<<"$happened") faults struck"
  fi
done
exit "$missed"
