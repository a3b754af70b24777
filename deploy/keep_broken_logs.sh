#!/bin/sh
# Plays the broken days of a hunt once more with the output of all machines, and keeps it, compressed.
#
# Usage: deploy/keep_broken_logs.sh BENCH SITE ENTRY DIRECTORY
#   BENCH: the program that played the hunt. SITE: its site file. ENTRY: the hunt's entry in journal/.
#   DIRECTORY: where one file a broken day is left, named after the day.
# The bench does not log while it hunts, and a play does not always come again: look at the sheet at
# the end of a file before it is taken for the play of the hunt.
set -eu
bench=$1 site=$2 entry=$3 directory=$4
mkdir -p "$directory"
python3 -c '
import json, sys
for day in json.load(open(sys.argv[1]))["days"]:
    if day["rules"]:
        print(day["name"])
' "$entry" | while read -r name; do
    file="$directory/$(echo "$name" | tr -c "[:alnum:]\n" _).log"
    "$bench" replay "$site" "$name" --log all --jobs 1 --why "logs of a broken day: $name" \
        < /dev/null > "$file" 2>&1 || echo "$name: the play ended with $?" >&2
    gzip -f "$file"
done
