#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs, without a network, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -o -q -B -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true -pl gooseberryring-standins -am package
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -sourcepath platform/src/test/java:review/src \
  -cp "target/gooseberryring-platform/lib/*:target/gooseberryring-platform/gooseberryring-platform.jar:target/gooseberryring-standins/*" \
  review/src/org/gooseberryring/platform/*.java
