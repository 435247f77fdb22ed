#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec node run.js
