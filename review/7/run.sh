#!/bin/sh
# Shows the case; TROUBLE=0 leaves the cut and the stop of a daemon out.
exec node "$(dirname "$0")/run.mjs"
