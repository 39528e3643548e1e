#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs, without a network, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=(-Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true)
mvn -o -q -B "${skip[@]}" -pl gooseberryring-standins -am package
rm -rf target/review
mkdir -p target/review
platform=target/gooseberryring-platform
javac -nowarn -d target/review -sourcepath platform/src/test/java:review/src \
  -cp "$platform/lib/*:$platform/gooseberryring-platform.jar:target/gooseberryring-standins/*" \
  review/src/org/gooseberryring/platform/*.java
