#!/bin/sh
# Builds the stand-ins and the drivers of the scripts into review/target.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target standin/*.java
