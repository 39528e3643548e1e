#!/usr/bin/env bash
# Runs hosts of this build beside hosts of another build and checks that they serve as one fleet.
#
# usage: bin/mixed-versions.sh OTHER_CHECKOUT
#
# The hosts of failure domains a and c come from the other build, the host of b from this one; then a and b change sides
# and start from the settings and the store that the other build wrote. Each step is carried out by one of the two command
# lines. Prints a line for each check and exits with 1 at the first one that fails.
set -euo pipefail
[ $# -eq 1 ] || {
  sed -n '2,4p' "${BASH_SOURCE[0]}" >&2
  exit 2
}
this=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
other=$(cd "$1" && pwd)
root=$this
. "$this/bin/launch.sh"
. "$this/bin/demo.sh"

# Organisation whose limit is checked: its burst lasts for a few requests only.
limited=small
limited_burst=1200
limited_rate=1
limited_requests=40
ready_attempts=300
sigterm_code=143

passed() { echo "event=check-passed check=$1"; }
failed() {
  echo "event=check-failed check=$1 detail=$2 directory=$demo_dir" >&2
  exit 1
}

# Runs a command with the programs of a build.
of_build() {
  local root=$1
  shift
  "$@"
}

host_start() { # build, failure domain
  of_build "$1" demo_start "host-$2" host org.gooseberryring.host.HostMain --settings "$demo_dir/host-$2.json"
  host_pid[$2]=$!
  demo_host_pids+=($!)
}

# Stops a host in an orderly way; the virtual machine then ends with the code of the signal.
host_stop() { # failure domain
  local code=0
  kill "${host_pid[$1]}"
  wait "${host_pid[$1]}" || code=$?
  [ "$code" -eq 0 ] || [ "$code" -eq "$sigterm_code" ] || failed "stop-$1" "exit-code-$code"
}

operator() { # build, failure domain whose host is asked, arguments
  local build=$1 domain=$2
  shift 2
  of_build "$build" demo_ctl "$@" --token-file "$demo_dir/operator-token" --admin "http://${admin[$domain]}"
}

# Sends a model request and prints the status.
send() { # failure domain, key file, max_tokens
  curl -s -o "$demo_dir/response" -w '%{http_code}' -H "Authorization: Bearer $(cat "$2")" \
    -H 'Content-Type: application/json' "http://${caller[$1]}/v1/chat/completions" \
    -d '{"model":"confirmations","max_tokens":'"$3"',"messages":[{"role":"user","content":"Confirm"}]}'
}

# Streams a model request and repeats an idempotent one at another host, in each direction.
check_requests() { # label
  local i first second third lines
  mapfile -t lines <"$demo_dir/caller-addresses"
  for i in 0 1; do
    first=${lines[$i]} second=${lines[2]} third=${lines[$((1 - i))]}
    printf '%s\n' "$first" "$second" "$third" >"$demo_dir/caller-addresses"
    of_build "${builds[$i]}" demo_ctl demo-try --dir "$demo_dir" >"$demo_dir/try.log" 2>&1 \
      || failed "$1-requests-$i" "$demo_dir/try.log"
    passed "$1-requests-$i"
  done
  printf '%s\n' "${lines[@]}" >"$demo_dir/caller-addresses"
}

# All hosts must have the revision that one of them has committed.
check_revision() { # label
  local domain revision wanted='' i
  for domain in a b c; do
    for ((i = 0; ; i++)); do
      revision=$(operator "$this" "$domain" status --json | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' | head -1)
      wanted=${wanted:-$revision}
      [ "$revision" != "$wanted" ] || break
      [ "$i" -lt 50 ] || failed "$1-revision" "$domain-has-$revision-of-$wanted"
      sleep 0.1
    done
  done
  passed "$1-revision-$wanted"
}

check_limit() {
  local i domain status admitted=0 started elapsed spent
  declare -A refused=([a]=0 [b]=0)
  started=$(date +%s)
  for ((i = 0; i < limited_requests; i++)); do
    domain=a
    [ $((i % 2)) -eq 0 ] || domain=b
    status=$(send "$domain" "$demo_dir/limited-key" 100)
    case $status in
      200) admitted=$((admitted + 1)) ;;
      429) refused[$domain]=$((refused[$domain] + 1)) ;;
      *) failed limit "status-$status" ;;
    esac
  done
  elapsed=$(($(date +%s) - started + 1))
  spent=$((admitted * 100))
  [ "$admitted" -gt 0 ] || failed limit nothing-admitted
  [ "${refused[a]}" -gt 0 ] && [ "${refused[b]}" -gt 0 ] || failed limit "refused-${refused[a]}-${refused[b]}"
  [ "$spent" -le $((limited_burst + elapsed * limited_rate)) ] || failed limit "$spent-tokens-in-$elapsed-s"
  passed "limit admitted=$admitted refused_a=${refused[a]} refused_b=${refused[b]}"
}

check_audit() { # label
  operator "$this" a audit --json >"$demo_dir/audit-this"
  operator "$other" b audit --json >"$demo_dir/audit-other"
  cmp "$demo_dir/audit-this" "$demo_dir/audit-other" || failed "$1-audit" differs
  passed "$1-audit"
}

# Both command lines must write the same trace, and each must replay the one of the other.
check_traces() {
  local build name requests
  for name in this other; do
    build=${!name}
    of_build "$build" demo_ctl trace generate --profile inkingi --seed 3 --seconds 10 --requests-per-second 10 \
      --out "$demo_dir/trace-$name" --changes "$demo_dir/changes-$name" --sheet "$demo_dir/sheet-$name" >/dev/null
  done
  for name in trace changes sheet; do
    cmp "$demo_dir/$name-this" "$demo_dir/$name-other" || failed "$name" differs
  done
  echo "{\"inkingi-1\":{\"key\":\"$(cat "$demo_dir/key")\",\"rateTokensPerSecond\":20000,\"burstTokens\":200000}}" \
    >"$demo_dir/organisations"
  # The fleet serves one model; the requests of the trace are sent to it by one organisation.
  for name in this other; do
    sed -e 's/"organisation":"[^"]*"/"organisation":"inkingi-1"/' -e 's/"model":"[^"]*"/"model":"confirmations"/' \
      -e 's/"adapter":"[^"]*",\?//' -e '/"fault"/d' "$demo_dir/trace-$name" >"$demo_dir/replayed-$name"
  done
  for name in this other; do
    build=$this
    [ "$name" = other ] || build=$other
    of_build "$build" demo_ctl replay "$demo_dir/replayed-$name" --host "${caller[a]}" --host "${caller[b]}" \
      --organisations "$demo_dir/organisations" --json >"$demo_dir/replay-$name" \
      || failed "replay-$name" "$demo_dir/replay-$name"
    requests=$(wc -l <"$demo_dir/replayed-$name")
    passed "replay-$name requests=$requests $(tr -d ' \n' <"$demo_dir/replay-$name" \
      | grep -o '"\(requests\|served\)":[0-9]*' | head -2 | tr '\n' ' ')"
  done
}

main() {
  local i domain
  of_build "$other" build_if_needed
  build_if_needed
  builds=("$this" "$other")
  demo_dir=$(mktemp -d)
  trap 'code=$?; demo_stop; exit $code' EXIT
  trap 'exit 1' INT TERM
  declare -gA host_pid=() admin=() caller=()
  demo_start_stand_ins
  prepare
  host_start "$other" a
  host_start "$this" b
  host_start "$other" c
  demo_ctl demo-wait --dir "$demo_dir" --path /healthz

  operator "$other" b apply "$demo_dir/changes.json" --cause mixed >/dev/null
  check_revision changes-of-other
  operator "$this" a key issue inkingi --label mixed --cause mixed | sed -n 's/^key: //p' >"$demo_dir/key"
  echo '[{"type":"put-organisation","organisation":{"id":"'$limited'","rateTokensPerSecond":'$limited_rate',
    "burstTokens":'$limited_burst',"weight":1,"priorityClasses":["NORMAL"]}}]' >"$demo_dir/limited.json"
  operator "$this" a apply "$demo_dir/limited.json" --cause mixed >/dev/null
  operator "$other" b key issue $limited --label mixed --cause mixed | sed -n 's/^key: //p' >"$demo_dir/limited-key"
  operator "$other" b sheet apply "$demo_dir/sheet.csv" --cause mixed >/dev/null
  check_revision changes-of-both
  demo_ctl demo-wait --dir "$demo_dir"
  await_status a "$demo_dir/key"
  await_status b "$demo_dir/key"
  passed orders-carried-out
  check_requests first
  check_limit
  check_traces
  check_audit first

  host_stop a
  host_stop b
  host_start "$this" a
  host_start "$other" b
  demo_ctl demo-wait --dir "$demo_dir"
  passed restart-with-the-other-build
  operator "$this" b endpoint drain a-desk --cause mixed >/dev/null
  operator "$other" a endpoint activate a-desk --cause mixed >/dev/null
  check_revision changed-sides
  check_requests changed-sides
  check_audit changed-sides
  demo_stop
  rm -rf "$demo_dir"
  echo "event=mixed-versions-passed"
  exit 0
}

prepare() {
  local arguments=() id i=0 domain lines
  arguments+=(--platform "$(demo_address platform)")
  for id in "${demo_engines[@]}"; do
    arguments+=("-E$id=$(demo_address "$id")")
  done
  for id in "${demo_services[@]}"; do
    arguments+=("-S$id=$(demo_address "$id")")
  done
  # The settings files of the hosts come from the other build.
  of_build "$other" demo_ctl demo-prepare --dir "$demo_dir" "${arguments[@]}"
  for domain in a b c; do
    i=$((i + 1))
    admin[$domain]=$(sed -n "${i}p" "$demo_dir/admin-addresses")
    caller[$domain]=$(sed -n "${i}p" "$demo_dir/caller-addresses")
  done
}

# Waits until the host of a failure domain answers a model request with 200.
await_status() { # failure domain, key file
  local i status=
  for ((i = 0; i < ready_attempts; i++)); do
    status=$(send "$1" "$2" 4 || true)
    [ "$status" != 200 ] || return 0
    sleep 0.2
  done
  failed "model-served-by-$1" "status-$status"
}

main
