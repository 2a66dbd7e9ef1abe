#!/usr/bin/env bash
# Exits with 1 if a request that may run once ran twice, 0 if none did, 2 if the case couldn't run.
set -- RepeatedRejection
source "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh"
