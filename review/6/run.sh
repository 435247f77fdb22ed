#!/bin/sh
# Shows the case; TROUBLE=0 leaves the change of the config out.
exec node "$(dirname "$0")/run.mjs"
