#!/bin/sh
# Builds the stand-ins of the cases: they are Python of the standard library alone.
set -e
cd "$(dirname "$0")"
exec ../.venv/bin/python -m compileall -q .
