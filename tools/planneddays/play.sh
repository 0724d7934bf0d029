#!/bin/bash
# Plays days on the bench and prints a line for each: its score, and what broke.
# usage, from the repository root: play.sh FLEETBENCH SITE PARALLEL DAY.toml...
set -u
bench=$1 site=$2 parallel=$3
shift 3
play() {
  bench=$1 site=$2 day=$3
  seed=$(basename "$day" | sed 's/-.*//')
  out=$("$bench" run "$site" "$day" --seed "$seed" --no-cpu --jobs 2 --why "planned work that overlaps: $(basename "$day" .toml)" 2>&1)
  row=$(grep -A1 '^day  ' <<<"$out" | tail -n 1 | tr -s ' ')
  [ -n "$row" ] || row="not played: $(tail -n 1 <<<"$out")"
  echo "$(basename "$site" .toml) $(basename "$day" .toml): $row"
}
export -f play
printf '%s\0' "$@" | xargs -0 -P "$parallel" -I{} bash -c 'play "$@"' _ "$bench" "$site" {}
