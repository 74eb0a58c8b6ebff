#!/bin/sh
# The stand-ins of the cases review/6 and up are Python programs that need only the standard library: there is nothing
# to build. This checks that the interpreter of the deploy file's build can read them.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
exec "$root/.venv/bin/python" - "$root"/review/rig.py "$root"/review/6/case.py "$root"/review/7/case.py \
    "$root"/review/8/case.py "$root"/review/9/case.py <<'END'
import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
END
