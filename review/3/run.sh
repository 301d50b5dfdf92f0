#!/usr/bin/env bash
# Plays case 3. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/plantainmesh ] && [ -x review/bin/3 ] || exit 2
exec timeout 110 review/bin/3
