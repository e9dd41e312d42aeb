#!/usr/bin/env bash
# Reruns all measurements of docs/MEASURES.md: tools/measure.sh [FAILOVERS]. Takes about ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build >/dev/null
BIN=$PWD/build
# shellcheck source=tools/fleet.sh
. tools/fleet.sh
failovers=${1:-20}
baseline='own-share=yes\nsingle-queue=yes\nreads-on-primary=yes\nconfirm-writes=no'
directory=""
trap 'fleet_stop; [ -z "$directory" ] || rm -rf "$directory"' EXIT

run_load() { # TITLE LOAD-OPTIONS...
    echo "-- $1"
    shift
    "$BIN/standins/rattanbeam-load" --targets "$INSTANCE_ADDRESSES" --databases orders,stock,rotas --customer tiza --credential chalk \
        --timeout-ms 3000 --rate 150 --seconds 6 "$@" || true
}

# Statements cost 20 ms of a slot, so that ten times what the fleet takes is within what one machine can offer.
deployment() { # TITLE MIX EXPERIMENT
    echo "== $1"
    directory=$(mktemp -d)
    EXPERIMENT=$3 COST_US=20000 APPLY_LAG_MS=300 fleet_start "$directory" orders stock rotas
    run_load calm --mix "$2" --seed 1
    run_load "flood of lists, 2500 a second" --mix "$2" --flood batch --flood-rate 2500 --seed 2
    run_load "flood of confirmations, 2900 a second" --mix "$2" --flood urgent --flood-rate 2900 --seed 3
    fleet_stop
    rm -rf "$directory"
    directory=""
}

deployment "order desk, rattanbeam" order-desk ""
deployment "order desk, baseline" order-desk "$baseline"
CONNECTIONS=35 deployment "rota, rattanbeam" rota ""
CONNECTIONS=35 deployment "rota, baseline" rota "$baseline"

for choice in power-of-two least-in-flight latency-score; do
    echo "== choice of replica: $choice"
    directory=$(mktemp -d)
    EXPERIMENT="replica-choice=$choice" COST_US=5000 APPLY_LAG_MS=300 fleet_start "$directory" orders stock rotas
    run_load "600 a second" --mix order-desk --rate 600 --seed 4
    fleet_stop
    rm -rf "$directory"
    directory=""
done

echo "== what confirming costs, by the time that a follower needs to hold an entry"
for lag in 0 1 5 20; do
    directory=$(mktemp -d)
    SHIP_LAG_MS=$lag COST_US=1000 fleet_start "$directory" orders stock rotas
    run_load "ship lag $lag ms" --mix writes --rate 60 --seed 5 | grep -E '^--|^rank|^urgent'
    fleet_stop
    rm -rf "$directory"
    directory=""
done

echo "== gaps in service"
for kind in kill freeze cut leave; do
    "$BIN/systemtests/rattanbeam-measure" gap "$kind" "$failovers"
done
echo "== overhead"
"$BIN/systemtests/rattanbeam-measure" overhead
echo "== sizes of messages"
"$BIN/systemtests/rattanbeam-measure" sizes
echo "== calls of the platform"
"$BIN/systemtests/rattanbeam-measure" calls
echo "== slopes of the decisions"
"$BIN/decisions/rattanbeam_decisions_benchmark" --benchmark_counters_tabular=true 2>/dev/null
