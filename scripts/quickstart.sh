#!/usr/bin/env bash
# Builds everything, starts a small version of both example deployments on loopback addresses, sends HTTP requests
# through them end to end, prints the origin and the service of each answer, and stops all processes. The exit status is
# 0 only if the expected service answered every request. Usage: scripts/quickstart.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

scripts/install-packages.sh
echo "building into $build"
scripts/build.sh "$build"
program=$PWD/$build/chicoryferry
standins=$PWD/$build/chicoryferry_standins
work=$(mktemp -d)
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for _ in $(seq 30); do
        local left=0
        for pid in "${pids[@]}"; do if kill -0 "$pid" 2>/dev/null; then left=1; fi; done
        [ "$left" = 0 ] && break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a process that logs to $work/NAME.log and waits until it is listening.
start() {
    local name=$1
    shift
    : >"$work/$name.log"
    "$@" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 100); do
        grep -q '"event":"listening"' "$work/$name.log" && return
        sleep 0.05
    done
    echo "$name does not listen:" >&2
    cat "$work/$name.log" >&2
    exit 1
}

# field NAME FIELD: prints a field of the log line in which a process reports that it is listening.
field() {
    sed -n '/"event":"listening"/ s/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$work/$1.log" | head -n 1
}

# put ADDRESS PATH FILE: sends a control document to a stand-in with HTTP PUT.
put() {
    curl --silent --show-error --fail --max-time 5 --request PUT --data-binary "@$3" "http://$1$2" >/dev/null
}

# deploy NAME ZONE...: starts the deployment of examples/NAME with one balancer in each of the availability zones.
deploy() {
    local deployment=$1 name service zone slots number=0
    shift
    local document=examples/$deployment/configuration.json members=$work/$deployment.members
    mkdir "$work/$deployment"
    start "$deployment-platform" "$standins" platform --listen 127.0.0.1:0
    start "$deployment-network" "$standins" network --listen 127.0.0.1:0
    local platform fabric
    platform=$(field "$deployment-platform" address)
    fabric=$(field "$deployment-network" data)
    : >"$members"
    while read -r name service zone slots; do
        start "$name-server" "$standins" backend --service "$service" --host "$name" --slots "$slots"
        start "$name" "$program" agent --instance "$name" --availability-zone "$zone" --platform "http://$platform" \
            --fabric-address "$fabric" --backend-server "$(field "$name-server" address)" --drain-limit 2s
        echo "host $name $(field "$name" data) $(field "$name" peer) $(field "$name" admin)" >>"$members"
    done < <("$standins" list-hosts --configuration "$document" --per-service 3)
    local balancers=""
    for zone in "$@"; do
        number=$((number + 1))
        name=$deployment-balancer-$number
        start "$name" "$program" balancer --instance "$name" --availability-zone "$zone" --platform "http://$platform"
        echo "balancer $name $zone $(field "$name" data) $(field "$name" peer) $(field "$name" admin)" >>"$members"
        balancers+=${balancers:+,}\"$(field "$name" data)\"
    done
    "$standins" fill-document --configuration "$document" --output "$work/$deployment" <"$members"
    "$program" check "$work/$deployment/configuration.json"
    put "$platform" /control/instances "$work/$deployment/instances.json"
    put "$platform" /control/configuration "$work/$deployment/configuration.json"
    echo "{\"balancers\":[$balancers]}" >"$work/$deployment/balancers.json"
    put "$(field "$deployment-network" address)" /control/balancers "$work/$deployment/balancers.json"
    local admin
    while read -r admin; do
        for _ in $(seq 200); do
            curl --silent --fail --max-time 2 "http://$admin/readyz" >/dev/null && continue 2
            sleep 0.05
        done
        echo "a process of $deployment is not ready at $admin" >&2
        exit 1
    done < <(awk '{ print $NF }' "$members")
    echo "$deployment: $(grep -c '^host' "$members") hosts and $(grep -c '^balancer' "$members") balancers are ready"
}

# entry DEPLOYMENT CALLER SERVICE_ADDRESS: writes the loopback address at which the caller reaches the service to
# $work/entry.
entry() {
    local network
    network=$(field "$1-network" address)
    entries[$1]+=${entries[$1]:+,}"{\"caller\":\"$2\",\"service\":\"$3\"}"
    curl --silent --show-error --fail --max-time 5 --request PUT --data "{\"entries\":[${entries[$1]}]}" \
        "http://$network/control/entries" >"$work/entries.json"
    tr '{' '\n' <"$work/entries.json" | grep "\"caller\":\"$2\"" | grep "\"service\":\"$3\"" |
        sed 's/.*"address":"\([^"]*\)".*/\1/' | head -n 1 >"$work/entry"
}

wrong=0
# ask SERVICE CURL_ARGUMENT...: sends one request, prints its result, and checks that SERVICE answered it.
ask() {
    local service=$1 status origin answered bytes seconds verdict=right
    shift
    curl --silent --max-time 20 --dump-header "$work/head" --output "$work/body" \
        --write-out '%{http_code} %{size_download} %{time_total}\n' "$@" >"$work/measures" || true
    read -r status bytes seconds <"$work/measures"
    origin=$(tr -d '\r' <"$work/head" | sed -n 's/^[Cc]hicoryferry-[Oo]rigin: //p')
    answered=$(tr -d '\r' <"$work/head" | sed -n 's/^[Xx]-[Ss]ervice: //p')
    if [ "$status" != 200 ] || [ "$answered" != "$service" ] || [ -z "$origin" ]; then
        verdict=WRONG
        wrong=$((wrong + 1))
    fi
    printf '%-10s %-6s %-14s %-10s %9s %9s  %s\n' "$service" "$status" "${origin:--}" "${answered:--}" "$bytes" \
        "$seconds" "$verdict"
}

declare -A entries=([msasani]="" [arriaga]="")
deploy msasani dar-1 dar-2
deploy arriaga bajio-1 bajio-2
printf '%-10s %-6s %-14s %-10s %9s %9s\n' asked status origin answered bytes seconds
entry msasani 10.9.1.1 10.1.0.1:80
address=$(cat "$work/entry")
for number in 1 2 3; do ask job "http://$address/layout/$number?run=20ms&size=2000"; done
ask job --header "Idempotency-Key: quickstart-1" --data "nick 3 at 41.5 mm" "http://$address/corrections?run=5ms"
entry msasani 10.9.2.1 10.1.0.2:80
address=$(cat "$work/entry")
ask drawing "http://$address/drawings/7?run=200ms&size=5000000"
ask drawing "http://$address/thumbnails/7?run=10ms&size=20000&chunked=1"
entry arriaga 10.9.3.1 10.1.1.1:80
address=$(cat "$work/entry")
for number in 1 2 3; do ask ordering "http://$address/orders/$number?run=10ms&size=1000"; done
ask ordering --header "Idempotency-Key: quickstart-2" --data "laurel, gold thread" "http://$address/designs?run=5ms"
entry arriaga 10.9.4.1 10.1.1.2:80
address=$(cat "$work/entry")
ask catalogue "http://$address/photographs/9?run=50ms&size=2000000"
if [ "$wrong" -gt 0 ]; then
    echo "$wrong requests were not answered by the right service" >&2
    exit 1
fi
echo "every request was answered by the right service"
