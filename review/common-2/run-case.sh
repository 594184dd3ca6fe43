#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# The driver ends by itself after 110 seconds at most, and ends the processes that it started.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
RECORD="$here/$1/record.txt"
: > "$RECORD" || exit 2
LAB_TMP=$(mktemp -d) || exit 2
export RECORD LAB_TMP
cd "$here/.." || exit 2
if [ ! -f target/verbenatray.jar ] || [ ! -d target/review-2 ]; then
    echo "the case could not run: run the build of the deploy file and review/build-2.sh first" | tee "$RECORD"
    rm -rf "$LAB_TMP"
    exit 2
fi
java -Xmx512m -cp target/review-2 "$2"
code=$?
rm -rf "$LAB_TMP"
case $code in 0|1|2) exit $code ;; *) exit 2 ;; esac
