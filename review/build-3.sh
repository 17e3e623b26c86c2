#!/bin/sh
# Builds the stand-ins and drivers of the scripts of the third review into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3 ./review/bed-3
