#!/bin/sh
# Starts the daemon. The JVM takes its heap's size from its command line alone, so it is derived here from the
# configuration's memory_mb: three tenths, from 16 to 40 MB. The rest is code, classes and threads.
set -eu
memory=$(sed -n 's/.*"memory_mb"[[:space:]]*:[[:space:]]*\([0-9][0-9]*\).*/\1/p' "${EDGE_CONFIG:-/dev/null}" 2>&1 | head -n 1)
case "$memory" in '' | *[!0-9]*) memory=192 ;; esac
heap=$((memory * 3 / 10))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 40 ] || heap=40
exec env MALLOC_ARENA_MAX=1 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData \
    -Xms$((heap * 3 / 5))m -Xmx${heap}m -Xss192k -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=4m -Xshare:auto -XX:SharedArchiveFile=target/wharftrestle.jsa \
    -jar target/wharftrestle.jar serve "$@"
