#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The program itself is built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/main.go" ]; then
        go build -buildvcs=false -tags review2 -o "target/review-2/case-$(basename "$folder")" "./$folder"
    fi
done
