#!/usr/bin/env bash
# Exits with 1 if a runner got requests long after it reported draining, 0 if not, 2 if it could not run.
set -- ForeignEntry
source "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh"
