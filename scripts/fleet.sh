# Functions that run a small fleet on loopback addresses: the platform's and the targets'
# stand-ins and seven hosts. Sourced by scripts/demo and the system tests.
#
#   fleet_start MANIFEST [FLAGS OF tanagerspur_targets]   starts stand-ins and seven hosts
#   fleet_stop                                            ends what was started here
#
# Needs BUILD (folder of the programs). RUN is a folder for settings and logs, made if unset.

HOST_COUNT=${HOST_COUNT:-7}
NET=${NET:-127.10}
PLATFORM=$NET.0.100:7000
CONTROL=$NET.0.101:7001
RUN=${RUN:-$(mktemp -d)}
declare -A PID

host_address() { echo "$NET.0.$1"; }

zone_of_host() {
    local zones=(howrah-a howrah-b howrah-c)
    echo "${zones[$((($1 - 1) % 3))]}"
}

write_settings() {
    cat >"$RUN/h$1.ini" <<EOT
[host]
id = h$1
zone = $(zone_of_host "$1")
address = $(host_address "$1")
[platform]
address = $PLATFORM
[limits]
address_validity_s = ${ADDRESS_VALIDITY_S:-2}
drain_timeout_s = 20
[log]
level = ${LOG_LEVEL:-info}
EOT
}

host_start() {
    write_settings "$1"
    "$BUILD/tanagerspurd" --settings="$RUN/h$1.ini" 2>>"$RUN/h$1.log" &
    PID[h$1]=$!
}

# Tells the platform which hosts live; the arguments are numbers of hosts that are left out.
hosts_list() {
    local lines="" i left=" $* "
    for ((i = 1; i <= HOST_COUNT; i++)); do
        [[ $left == *" $i "* ]] && continue
        lines+="${lines:+,}{\"id\":\"h$i\",\"zone\":\"$(zone_of_host "$i")\",\"address\":\"$(host_address "$i")\",\"role\":\"entry\",\"state\":\"live\"}"
    done
    curl -sS -X POST "http://$PLATFORM/control/hosts" -d "{\"hosts\":[$lines]}" >/dev/null
}

# Retries a command until it succeeds, for at most $1 seconds.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        ((SECONDS < end)) || return 1
        sleep 0.1
    done
}

fleet_start() {
    local manifest=$1 i
    shift
    "$BUILD/tanagerspur_platform" --listen="$PLATFORM" 2>"$RUN/platform.log" &
    PID[platform]=$!
    "$BUILD/tanagerspur_targets" --manifest="$manifest" --control="$CONTROL" "$@" \
        2>"$RUN/targets.log" &
    PID[targets]=$!
    wait_for 10 curl -sf "http://$PLATFORM/control/counters" || return 1
    wait_for 10 curl -sf "http://$CONTROL/counters" || return 1
    hosts_list
    for ((i = 1; i <= HOST_COUNT; i++)); do host_start "$i"; done
}

cli() {
    "$BUILD/tanagerspur" "$@" --platform="$PLATFORM"
}

fleet_stop() {
    local name
    for name in "${!PID[@]}"; do
        [[ $name == h* ]] && kill -TERM "${PID[$name]}" 2>/dev/null
    done
    for name in "${!PID[@]}"; do
        [[ $name == h* ]] && wait "${PID[$name]}" 2>/dev/null
    done
    for name in platform targets; do
        [[ -n ${PID[$name]:-} ]] && kill "${PID[$name]}" 2>/dev/null && wait "${PID[$name]}" 2>/dev/null
    done
    PID=()
    return 0
}

# Sum of a member of all hosts' dumps.
sum_of_dumps() {
    local i total=0
    for ((i = 1; i <= HOST_COUNT; i++)); do
        total=$((total + $(curl -s "http://$(host_address "$i"):8081/admin/dump" | jq "$1")))
    done
    echo "$total"
}

# Processor time that all hosts have used, in milliseconds.
cpu_ms() {
    local i total=0
    for ((i = 1; i <= HOST_COUNT; i++)); do
        total=$((total + $(awk '{print ($14 + $15) * 10}' "/proc/${PID[h$i]}/stat")))
    done
    echo "$total"
}
