#!/bin/sh
# Starts the daemon. The JVM takes its heap's size from its command line alone, so it is derived here from the
# configuration's memory_mb: three tenths, from 16 to 40 MB. The rest is code, classes and threads.
# Starts no other program before its exec: where that is refused, a small box must still have its small heap.
set -eu
config=
if [ -r "${EDGE_CONFIG:-}" ] && [ -f "$EDGE_CONFIG" ]; then
    while IFS= read -r line || [ -n "$line" ]; do config="$config $line"; done < "$EDGE_CONFIG"
fi

# Leaves in $rest what follows its leading white space.
skip_space() { rest=${rest#"${rest%%[![:space:]]*}"}; }

memory=
rest=${config#*\"memory_mb\"}
if [ "$rest" != "$config" ]; then
    skip_space
    case "$rest" in :*) rest=${rest#:}; skip_space; memory=${rest%%[!0-9]*} ;; esac
fi
case "$memory" in '') memory=192 ;; ???????*) memory=999999 ;; esac
heap=$((memory * 3 / 10))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 40 ] || heap=40
# Direct memory: a thread keeps up to 8 kB for its reads and writes. 4 MB are for the threads that every box has; further
# threads follow from the memory beside the program (28 MB) and the heap, of which each takes 0.12 MB, 15 times 8 kB.
threads=$((memory * 92 / 100 - 28 - heap))
[ "$threads" -ge 0 ] || threads=0
direct=$((4 + threads / 15))
export MALLOC_ARENA_MAX=1
# Newer builds of this JVM map the archive of classes at another address at each start, and so write to every page of
# it: 10 MB more that are this process's own. Addresses of classes are no secret here. A JVM without the option goes on.
exec java -XX:+IgnoreUnrecognizedVMOptions -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0 \
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData \
    -Xms$((heap * 3 / 5))m -Xmx${heap}m -Xss192k -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=${direct}m -Xshare:auto -XX:SharedArchiveFile=target/wharftrestle.jsa \
    -jar target/wharftrestle.jar serve "$@"
