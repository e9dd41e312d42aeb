#!/usr/bin/env bash
# Installs, builds, starts a fleet of plain processes, runs the order-desk load and shows one request's path.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh build
BIN=$PWD/build
# shellcheck source=tools/fleet.sh
. tools/fleet.sh
directory=$(mktemp -d)
trap 'fleet_stop; rm -rf "$directory"' EXIT

echo "== starting: a platform, three databases of three members, nine instances"
APPLY_LAG_MS=300 fleet_start "$directory" orders stock rotas
"$BIN/operator/rattanbeamctl" --platform "${FLEET_ADDRESS[platform]}" contract status tiza

echo "== a row written through one instance is read back through the others, replicas lagging 300 ms"
session=$directory/session
first=${INSTANCE_ADDRESSES%%,*}
fleet_statement "$first" --database orders --write --session-file "$session" "CREATE TABLE IF NOT EXISTS chalk(buckets INTEGER)"
fleet_statement "$first" --database orders --write --rank urgent --session-file "$session" "INSERT INTO chalk VALUES(7)"
for address in ${INSTANCE_ADDRESSES//,/ }; do
    [ "$address" = "$first" ] && continue
    answer=$(fleet_statement "$address" --database orders --session-file "$session" "SELECT sum(buckets) FROM chalk" | tr '\n' ' ')
    echo "$address: $answer"
    case "$answer" in *" 7 "*) ;; *) echo "the row is missing"; exit 1 ;; esac
done

echo "== ten seconds of the order desk"
"$BIN/standins/rattanbeam-load" --targets "$INSTANCE_ADDRESSES" --databases orders,stock,rotas --customer tiza --credential chalk \
    --mix order-desk --rate 200 --seconds 10

echo "== the spans of one write"
trace=$(grep -a 'name=confirmation' "$directory/spans.txt" | grep -aom1 'trace=[0-9a-f]*')
grep -a "$trace " "$directory/spans.txt" | sort -t= -k6
echo "== done"
