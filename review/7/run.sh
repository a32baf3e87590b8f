#!/bin/bash
# TROUBLE=0 plays the same without the disruption.
exec "$(dirname "$0")/../support-2/run-case.sh" foreign_heartbeat 7
