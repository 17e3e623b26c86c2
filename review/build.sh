#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into target/review/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
exec go build -tags review -o target/review/driver ./review/driver
