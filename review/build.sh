#!/bin/sh
# The stand-ins are Python scripts that need the standard library only; this checks that they can be compiled by the
# interpreter that the deploy file's build has made.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
