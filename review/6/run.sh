#!/bin/sh
# Exits with 1 if a repeat did not get the first answer after a restart, 0 if all did, 2 if it could not run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
exec java -cp "$here/../standins-2/classes" Main Case6 "$here/../.." "$here"
