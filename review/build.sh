#!/bin/sh
# Builds every stand-in that a script of the review starts. They are Python (3.11, standard library only), so
# this only checks that they compile.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast, pathlib, tomllib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
