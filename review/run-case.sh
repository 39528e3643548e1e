#!/usr/bin/env bash
# Runs the program of a case, built by review/build.sh, which writes a record.
# usage: review/run-case.sh CLASS RECORD
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/review ] || { echo "review/build.sh has not been run" >&2; exit 2; }
lib=target/gooseberryring-platform/lib
exec java -Xmx512m -XX:+UseSerialGC -cp \
  "target/review:$lib/*:target/gooseberryring-platform/gooseberryring-platform.jar:target/gooseberryring-standins/*" \
  "org.gooseberryring.platform.$1" "$2" 2> "target/review/$1.err"
