#!/usr/bin/env bash
# Starts and ends a set of processes on loopback: the simulated services of a cell
# and some entries. Sourced by the demo and by the load runs.
#
# cluster_start DIR CELL ZONE...  starts one entry for each ZONE (written as
#                                 zone=region); sets ENDIVE_ENTRY, CONTROL,
#                                 OPERATORS, CALLERS and HEALTH
# cluster_ready N SECONDS         waits until N entries are ready
# cluster_end                     kills the processes that still run, by process id

cluster_dir=
cluster_pids=()

# address_of NAME prints an address that the simulated services have chosen.
address_of() {
  grep -o "\"$1\":\"[^\"]*\"" "$cluster_dir/addresses.json" | head -n 1 | cut -d'"' -f4
}

# write_settings I NAME ZONE writes the settings of entry I.
write_settings() {
  local i=$1 j
  {
    echo "name = \"entry-$((i + 1))\""
    echo "region = \"${regions[i]}\""
    echo "zone = \"${zones[i]}\""
    echo "[listen]"
    echo "callers = \"${ports[i * 4]}\""
    echo "operators = \"${ports[i * 4 + 1]}\""
    echo "peers = \"${ports[i * 4 + 2]}\""
    echo "health = \"${ports[i * 4 + 3]}\""
    echo "[platform]"
    echo "table = \"$(address_of table)\""
    echo "objects = \"$(address_of objects)\""
    echo "instances = \"$(address_of instances)\""
    for j in "${!zones[@]}"; do
      [ "$j" = "$i" ] && continue
      echo "[[peers]]"
      echo "name = \"entry-$((j + 1))\""
      echo "address = \"${ports[j * 4 + 2]}\""
      echo "region = \"${regions[j]}\""
      echo "zone = \"${zones[j]}\""
    done
  } >"$cluster_dir/entry-$((i + 1)).toml"
}

cluster_start() {
  cluster_dir=$1
  local cell=$2 i listed=()
  shift 2
  zones=() regions=() OPERATORS=() CALLERS=() HEALTH=()
  for i in "$@"; do
    zones+=("${i%=*}")
    regions+=("${i#*=}")
  done
  mapfile -t ports < <(bin/stand ports $((4 * $#)))
  for i in "${!zones[@]}"; do
    listed+=(--entry "entry-$((i + 1))=${zones[i]}=${ports[i * 4 + 2]}")
    CALLERS+=("${ports[i * 4]}")
    OPERATORS+=("${ports[i * 4 + 1]}")
    HEALTH+=("${ports[i * 4 + 3]}")
  done
  bin/stand run --cell "$cell" --addresses "$cluster_dir/addresses.json" "${listed[@]}" \
    >"$cluster_dir/stand.log" 2>&1 &
  stand_pid=$!
  cluster_pids+=("$stand_pid")
  for _ in $(seq 100); do
    [ -s "$cluster_dir/addresses.json" ] && break
    sleep 0.1
  done
  CONTROL=$(address_of control)
  entry_pids=()
  for i in "${!zones[@]}"; do
    write_settings "$i"
    entry_start "$i"
  done
  ENDIVE_ENTRY=$(
    IFS=,
    echo "${OPERATORS[*]}"
  )
  export ENDIVE_ENTRY
}

# entry_start I starts entry I, or restarts it after it has ended.
entry_start() {
  bin/entry --settings "$cluster_dir/entry-$(($1 + 1)).toml" 2>>"$cluster_dir/entry-$(($1 + 1)).log" &
  entry_pids[$1]=$!
  cluster_pids+=("${entry_pids[$1]}")
}

cluster_ready() {
  local _
  for _ in $(seq $((5 * $2))); do
    [ "$(bin/endive show entries 2>/dev/null | grep -c ' live *true ')" -ge "$1" ] && return 0
    sleep 0.2
  done
  return 1
}

cluster_end() {
  local pid
  for pid in "${cluster_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
