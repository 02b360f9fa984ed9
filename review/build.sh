#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
for folder in review/_standins/*/; do
	name=$(basename "$folder")
	[ -e "$folder/main.go" ] || continue
	go build -o "target/review/$name" "./review/_standins/$name"
done
