#!/bin/sh
# Builds the stand-ins of the cases with a script, into review/build/. They need a C
# compiler and the C library only.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for case in */case.c; do
	number=${case%/case.c}
	cc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -pthread -Ilib \
		-o "build/case-$number" "$case" lib/*.c
done
