#!/bin/sh
# Builds the stand-ins: they are Python files without dependencies, so compiling them is all there is to do.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
