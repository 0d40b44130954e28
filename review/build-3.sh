#!/bin/bash
# Builds the cases 11 to 15 and all stand-ins that they start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="libsoup-3.0 json-glib-1.0 gio-2.0 gio-unix-2.0 libtirpc libxxhash"
stand_ins="review/kit-3/site.c tests/support_store.c tests/support_proxy.c tests/support_copies.c
	tests/support_address.c"
for source in review/1[1-5]/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu17 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE \
		-DG_LOG_DOMAIN='"review"' -Isrc -Iplatform -Itests -Ireview/kit-3 \
		$(pkg-config --cflags $packages) -o "$out/case-$number" \
		"$source" $stand_ins target/libcore.a \
		$(pkg-config --libs $packages) -largtable2 -lhttp_parser -lstdc++ -lm
done
