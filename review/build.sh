#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs that use the standard library alone: nothing is compiled.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
exec python3 - lib/*.py [0-9]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
END
