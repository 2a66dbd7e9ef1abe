#!/usr/bin/env bash
# Exits with 1 if a stream had bytes in it that are no answer, 0 if not, 2 if the case could not run.
set -- FailedContinuation
source "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh"
