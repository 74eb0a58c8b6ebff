#!/bin/sh
# Links what a bench wants to lie beside these sites: link.sh FOLDER, the one that holds real.json, wire.json, unlock.txt.
set -eu
from=$(cd "$1" && pwd)
for name in real.json wire.json unlock.txt; do
    ln -sf "$from/$name" "$(dirname "$0")/$name"
done
