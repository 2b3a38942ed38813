#!/usr/bin/env bash
# Plays days of deployments with one mechanism of the router switched off at a time, each in a clone of its own, and prints a line
# for each play: mechanism, site, day, seed, worth, served, refused, failed.
#
#   deploy/ablation.sh BENCH DIR DAY[:SEED],... MECHANISM,... SITE...
#
# BENCH is the users' bench, DIR a directory for the clones and reports; the mechanism "none" leaves all on.
set -euo pipefail
bench=$1 dir=$2 days=$3 mechanisms=$4
shift 4
here="$(cd "$(dirname "$0")/.." && pwd)"

play() { # mechanism site day seed
  local name
  name="$1-$(basename "$2" .toml)-$3-$4"
  (cd "$dir/$1" && "$bench" run "$2" "$3" ${4:+--seed "$4"} --jobs "${JOBS:-4}" --why "ablation without $1" --report "$dir/$name.json") \
    >"$dir/$name.txt" 2>&1 || true
  printf '%s %s %s %s ' "$1" "$(basename "$2" .toml)" "$3" "${4:-standard}"
  awk -F'[:,]' '/"(G|served|refused|failed)":/ {gsub(/[ "]/,""); printf "%s %.3f ", $1, $2} /"fault"/ {exit}' "$dir/$name.json" 2>/dev/null
  echo
}

for m in ${mechanisms//,/ }; do
  [ -d "$dir/$m" ] || git clone -q "$here" "$dir/$m"
  if [ "$m" != none ]; then
    sed -i "s|^run = \"target/ledgemount router\"|run = \"target/ledgemount router --without $m\"|" "$dir/$m/deploy/system.toml"
  fi
  for site in "$@"; do
    for day in ${days//,/ }; do
      seed=""
      [[ $day == *:* ]] && seed="${day#*:}"
      play "$m" "$site" "${day%%:*}" "$seed" &
    done
  done
  wait
done
