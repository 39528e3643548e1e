# Demonstration fleet of stand-ins and hosts; sourced by bin/gooseberryctl.
#
# Processes of the system start no other process, so this script starts them. It ends only what it started.

demo_pids=()
demo_host_pids=()
demo_ctl_pid=
demo_dir=
demo_opts='-Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1'

# Starts a process: log name, module, main class, arguments.
demo_start() {
  local name=$1 module=$2 main=$3
  shift 3
  "$java" $demo_opts -cp "$(class_path "$module")" "$main" "$@" >"$demo_dir/$name.log" 2>&1 &
  demo_pids+=($!)
}

# Prints the address that a stand-in reported; fails if it does not within 30 s.
demo_address() {
  local line i
  for ((i = 0; i < 300; i++)); do
    line=$(grep -m1 '^event=started ' "$demo_dir/$1.log" || true)
    if [ -n "$line" ]; then
      printf '%s' "${line##*address=}"
      return
    fi
    sleep 0.1
  done
  echo "event=start-failed process=$1 log=$demo_dir/$1.log" >&2
  return 1
}

# Runs the command line in the background and waits, so that a signal is handled at once.
demo_ctl() {
  "$java" $demo_opts -cp "$(class_path ctl)" org.gooseberryring.ctl.CtlMain "$@" &
  demo_ctl_pid=$!
  local code=0
  wait "$demo_ctl_pid" || code=$?
  demo_ctl_pid=
  return "$code"
}

# Shows a command and runs it.
demo_show() {
  echo "\$ gooseberryctl $*" >&2
  demo_ctl "$@"
}

# Ends the hosts, which finish what they serve, and then the stand-ins; waits for each.
demo_stop() {
  # A second signal must not end the script before it has ended its processes.
  trap - EXIT
  trap '' INT TERM
  demo_end ${demo_ctl_pid:+"$demo_ctl_pid"}
  demo_end "${demo_host_pids[@]}"
  demo_end "${demo_pids[@]}"
}

demo_end() {
  local pid
  for pid in "$@"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    wait "$pid" 2>/dev/null || true
  done
}

run_demo() {
  local once=false keep=false
  while [ $# -gt 0 ]; do
    case $1 in
      --once) once=true ;;
      --keep) keep=true ;;
      *)
        echo "Unknown option of demo: $1" >&2
        exit 2
        ;;
    esac
    shift
  done
  demo_dir=$(mktemp -d)
  trap 'code=$?; demo_stop; exit $code' EXIT
  trap 'exit 0' INT TERM
  echo "event=demo-starting directory=$demo_dir"
  demo_start_stand_ins
  demo_start_hosts
  demo_configure
  demo_ctl demo-try --dir "$demo_dir"
  if $once; then
    demo_stop
    $keep || rm -rf "$demo_dir"
    echo "event=demo-done"
    exit 0
  fi
  echo "event=demo-serving directory=$demo_dir"
  echo "Interrupt to end it."
  wait
}

demo_start_stand_ins() {
  local main=org.gooseberryring.standins.StandInMain domain id
  demo_engines=(a-engine-1 a-engine-2 b-engine-1 b-engine-2 c-engine-1 c-engine-2)
  demo_services=(a-desk c-desk)
  demo_start platform standins $main platform
  for id in "${demo_engines[@]}"; do
    demo_start "$id" standins $main engine --id "$id" --loads-per-second 12
  done
  for id in "${demo_services[@]}"; do
    demo_start "$id" standins $main service --id "$id"
  done
}

demo_start_hosts() {
  local arguments=() id domain address
  address=$(demo_address platform)
  arguments+=(--platform "$address")
  for id in "${demo_engines[@]}"; do
    address=$(demo_address "$id")
    arguments+=("-E$id=$address")
  done
  for id in "${demo_services[@]}"; do
    address=$(demo_address "$id")
    arguments+=("-S$id=$address")
  done
  demo_ctl demo-prepare --dir "$demo_dir" "${arguments[@]}"
  for domain in a b c; do
    demo_start "host-$domain" host org.gooseberryring.host.HostMain --settings "$demo_dir/host-$domain.json"
    demo_host_pids+=($!)
  done
  demo_ctl demo-wait --dir "$demo_dir" --path /healthz
}

demo_configure() {
  local options=(--token-file "$demo_dir/operator-token") address
  while read -r address; do
    options+=(--admin "http://$address")
  done <"$demo_dir/admin-addresses"
  demo_show apply "$demo_dir/changes.json" --cause demo "${options[@]}"
  (umask 077 && demo_show key issue inkingi --label demo --cause demo "${options[@]}" \
    | sed -n 's/^key: //p' >"$demo_dir/key")
  demo_show sheet plan "$demo_dir/sheet.csv" "${options[@]}"
  demo_show sheet apply "$demo_dir/sheet.csv" --cause demo "${options[@]}"
  demo_ctl demo-wait --dir "$demo_dir"
  demo_show status "${options[@]}"
}
