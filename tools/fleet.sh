# Starts and stops a small fleet of plain processes on loopback; sourced by the demo and the measurements.
#
#   fleet_start DIRECTORY [DATABASES]   platform, three members of each database in three domains, nine instances
#   fleet_stop                          stops all that was started, by process id
#
# Set before: BIN (build folder). Optional: SLOTS, CONNECTIONS, COST_US, APPLY_LAG_MS, SHIP_LAG_MS, EXPERIMENT (lines for
# the [experiment] section), TRACE_EVERY, WEIGHTS ("urgent interactive batch"), CUSTOMER, CREDENTIAL.

FLEET_PIDS=()
declare -A FLEET_PID
declare -A FLEET_ADDRESS
INSTANCE_ADDRESSES=""

fleet_spawn() { # NAME COMMAND...: starts a process and waits for its port
    local name=$1
    shift
    "$@" >"$FLEET_DIR/$name.log" 2>&1 &
    local pid=$!
    FLEET_PIDS+=("$pid")
    FLEET_PID[$name]=$pid
    local port=""
    for _ in $(seq 200); do
        port=$(grep -aom1 'port=[0-9]*' "$FLEET_DIR/$name.log" | cut -d= -f2 || true)
        [ -n "$port" ] && break
        kill -0 "$pid" 2>/dev/null || { echo "$name did not start:"; cat "$FLEET_DIR/$name.log"; return 1; }
        sleep 0.05
    done
    FLEET_ADDRESS[$name]=127.0.0.1:$port
}

fleet_instance() { # NAME DOMAIN: starts one instance
    local name=$1 domain=$2
    cat >"$FLEET_DIR/$name.ini" <<INI
[instance]
name=$name
domain=$domain
listen=127.0.0.1:0
[platform]
address=${FLEET_ADDRESS[platform]}
[tokens]
key=$FLEET_KEY
[trace]
file=$FLEET_DIR/spans.txt
every=${TRACE_EVERY:-100}
INI
    if [ -n "${EXPERIMENT:-}" ]; then
        printf '[experiment]\n%b\n' "$EXPERIMENT" >>"$FLEET_DIR/$name.ini"
    fi
    fleet_spawn "$name" "$BIN/daemon/rattanbeamd" --config "$FLEET_DIR/$name.ini"
}

fleet_backend() { # NAME [--primary]
    local name=$1
    shift
    fleet_spawn "$name" "$BIN/standins/rattanbeam-backend" --name "$name" --directory "$FLEET_DIR/tables-$name" --slots "${SLOTS:-2}" \
        --connections "${CONNECTIONS:-16}" --cost-us "${COST_US:-1000}" --apply-lag-ms "${APPLY_LAG_MS:-300}" \
        --ship-lag-ms "${SHIP_LAG_MS:-1}" "$@"
}

fleet_database() { # NAME PRIMARY_DOMAIN
    local database=$1 primary=$2 domain
    local file="$FLEET_DIR/$database.group"
    printf '[group]\ndatabase=%s\nslots=%s\nconnections=%s\nterm=1\nprimary=%s-%s\n' "$database" "${SLOTS:-2}" \
        "${CONNECTIONS:-16}" "$database" "$primary" >"$file"
    for domain in a b c; do
        if [ "$domain" = "$primary" ]; then
            fleet_backend "$database-$domain" --primary
        else
            fleet_backend "$database-$domain"
        fi
        printf '[member %s-%s]\ndomain=%s\naddress=%s\n' "$database" "$domain" "$domain" \
            "${FLEET_ADDRESS[$database-$domain]}" >>"$file"
    done
    "$BIN/operator/rattanbeamctl" --platform "${FLEET_ADDRESS[platform]}" database apply "$file" >/dev/null
}

fleet_contract() { # CUSTOMER CREDENTIAL DATABASES...
    local customer=$1 credential=$2
    shift 2
    local file="$FLEET_DIR/$customer.contract"
    read -r urgent interactive batch <<<"${WEIGHTS:-70 20 10}"
    {
        printf '[contract]\ncustomer=%s\ncredential-sha256=%s\n' "$customer" "$(printf %s "$credential" | sha256sum | cut -d' ' -f1)"
        for database in "$@"; do
            printf '[database %s]\nconnections=%s\nmax-age=10s\n' "$database" "${CONNECTIONS:-16}"
        done
        printf '[ranks]\nurgent=%s\ninteractive=%s\nbatch=%s\n' "$urgent" "$interactive" "$batch"
    } >"$file"
    "$BIN/operator/rattanbeamctl" --platform "${FLEET_ADDRESS[platform]}" contract apply "$file" >/dev/null
}

fleet_start() { # DIRECTORY DATABASES...
    FLEET_DIR=$1
    shift
    mkdir -p "$FLEET_DIR"
    FLEET_KEY=$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
    FLEET_DATABASES=("$@")
    fleet_spawn platform "$BIN/standins/rattanbeam-platform"
    local domains=(a b c) number=0 database
    for database in "$@"; do
        fleet_database "$database" "${domains[$((number % 3))]}"
        number=$((number + 1))
    done
    INSTANCE_ADDRESSES=""
    for number in 1 2 3; do
        for domain in a b c; do
            fleet_instance "entry-$domain$number" "$domain"
            INSTANCE_ADDRESSES+="${INSTANCE_ADDRESSES:+,}${FLEET_ADDRESS[entry-$domain$number]}"
        done
    done
    fleet_contract "${CUSTOMER:-tiza}" "${CREDENTIAL:-chalk}" "$@"
    fleet_wait_ready
}

fleet_statement() { # INSTANCE CTL-OPTIONS... SQL
    local instance=$1
    shift
    "$BIN/operator/rattanbeamctl" --instance "$instance" --customer "${CUSTOMER:-tiza}" --credential "${CREDENTIAL:-chalk}" statement run "$@"
}

fleet_wait_ready() { # until every instance serves reads and every database takes a write
    local address database tries
    for database in "${FLEET_DATABASES[@]}"; do
        for tries in $(seq 100); do
            fleet_statement "${INSTANCE_ADDRESSES%%,*}" --database "$database" --write "CREATE TABLE IF NOT EXISTS ready(n)" >/dev/null 2>&1 && break
            sleep 0.1
        done
    done
    for address in ${INSTANCE_ADDRESSES//,/ }; do
        for tries in $(seq 100); do
            fleet_statement "$address" --database "${FLEET_DATABASES[0]}" "SELECT 1" >/dev/null 2>&1 && break
            sleep 0.1
        done
    done
}

fleet_stop() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    for _ in $(seq 40); do
        local alive=0
        for pid in "${FLEET_PIDS[@]}"; do
            kill -0 "$pid" 2>/dev/null && alive=1
        done
        [ $alive = 0 ] && break
        sleep 0.1
    done
    for pid in "${FLEET_PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    FLEET_PIDS=()
}
