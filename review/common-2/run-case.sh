#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
RECORD="$here/$1/record.txt"
LAB_TMP=$(mktemp -d) || exit 2
export RECORD LAB_TMP
cd "$here/.." || exit 2
if [ ! -f target/verbenatray.jar ] || [ ! -d target/review-2 ]; then
    echo "the case could not run: run the build of the deploy file and review/build-2.sh first" | tee "$RECORD"
    exit 2
fi
java -Xmx512m -cp target/review-2 "$2" &
lab=$!
(sleep 115; kill -9 $lab 2>/dev/null) &
watch=$!
wait $lab
code=$?
kill $watch 2>/dev/null
# The processes of the system end with the script; these are the ids that it noted.
for id in $(sed -n 's/.* started, process \([0-9]*\)$/\1/p' "$RECORD"); do kill -9 "$id" 2>/dev/null; done
[ -n "${KEEP_LOGS:-}" ] && cp "$LAB_TMP"/*.log "$KEEP_LOGS"/
rm -rf "$LAB_TMP"
case $code in 0|1|2) exit $code ;; *) exit 2 ;; esac
