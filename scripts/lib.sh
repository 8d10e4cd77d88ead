# Shared by the scripts that run a small deployment on loopback. Every
# process is started here and ended here, by its id. Source it;

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

BIN=target/${PROFILE:-debug}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/hollywell.XXXXXX")
HISTORY=$WORK/history
mkdir -p "$HISTORY"

declare -A PID ADDRESS PEER

build() {
  local flags=(--locked --quiet)
  [ "${PROFILE:-debug}" = release ] && flags+=(--release)
  cargo build "${flags[@]}" -p platform -p standin
}

# One history line, as the stand-ins write them.
saw() {
  printf '{"at":%s,"saw":%s}\n' "$(date +%s%3N)" "$1" >> "$HISTORY/script.jsonl"
}

# spawn NAME COMMAND...: starts a process and remembers its id.
spawn() {
  local name=$1
  shift
  "$@" > "$WORK/$name.out" 2> "$WORK/$name.err" &
  PID[$name]=$!
}

# standin NAME SUBCOMMAND OPTIONS...: starts a stand-in on a port that the
# operating system picks and waits for its address.
standin() {
  local name=$1
  shift
  spawn "$name" "$BIN/standin" "$@"
  for _ in $(seq 600); do
    [ -s "$WORK/$name.out" ] && break
    sleep 0.05
  done
  ADDRESS[$name]=$(head -n 1 "$WORK/$name.out")
}

# post NAME PATH JSON: posts to a stand-in.
post() {
  "$BIN/standin" post --to "${ADDRESS[$1]}" --path "$2" --json "$3" > /dev/null
}

# listed NAME KIND POOL DOMAIN ADDRESS: puts a process on the list.
listed() {
  post list /entries "{\"name\":\"$1\",\"kind\":\"$2\",\"pool\":\"$3\",\"domain\":\"$4\",\"address\":\"$5\"}"
}

# entry NAME DOMAIN: configures and starts an entry instance.
entry() {
  local name=$1 domain=$2 ports
  if [ -z "${ADDRESS[$name]:-}" ]; then
    mapfile -t ports < <("$BIN/standin" ports --count 2)
    ADDRESS[$name]=127.0.0.1:${ports[0]}
    PEER[$name]=127.0.0.1:${ports[1]}
  fi
  cat > "$WORK/$name.ini" <<INI
[instance]
name = $name
domain = $domain
domains = $DOMAINS
listen = ${ADDRESS[$name]}
peer_listen = ${PEER[$name]}

[platform]
log = ${ADDRESS[log]}
list = ${ADDRESS[list]}
weights = ${ADDRESS[weights]}

${EXTRA_SETTINGS:-}
INI
  "$BIN/hollywell" check -c "$WORK/$name.ini" > /dev/null
  spawn "$name" "$BIN/hollywell" serve -c "$WORK/$name.ini"
  if [ -n "${RELAYS:-}" ] && [ -z "${ADDRESS[relay-$name]:-}" ]; then
    standin "relay-$name" relay --to "${PEER[$name]}"
  fi
  listed "$name" instance "" "$domain" "${ADDRESS[relay-$name]:-${PEER[$name]}}"
}

# wait_until DESCRIPTION COMMAND...: tries a command for a minute.
wait_until() {
  local what=$1
  shift
  for _ in $(seq 600); do
    "$@" > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "gave up waiting: $what" >&2
  return 1
}

# owners_are NAME COUNT: true if an instance sees maps with that many
# members in all and acts as an owner itself.
owners_are() {
  local json
  json=$("$BIN/hollywell" status --at "${ADDRESS[$1]}" --json) || return 1
  [[ $json == *'"owner":true'* && $json == *'"ready":true'* ]] || return 1
  local members
  members=$("$BIN/hollywell" status --at "${ADDRESS[$1]}" | sed -n '/key owners/,$p' | grep -o '#' | wc -l)
  [ "$members" -ge "$2" ]
}

# edit NAME TRAINER OPTIONS...: edits the table through an instance and
# records the accepted revision.
edit() {
  local at=${ADDRESS[$1]} trainer=$2 said revision
  shift 2
  said=$("$BIN/hollywell" table edit --at "$at" --by script "$trainer" "$@")
  revision=$(sed -n 's/.*accepted as revision \([0-9]*\).*/\1/p' <<< "$said")
  saw "{\"accepted\":{\"trainer\":\"$trainer\",\"revision\":$revision}}"
}

# stop NAME: asks an entry instance to stop and records how it ended.
stop() {
  local code=0
  saw "{\"stop_asked\":{\"entry\":\"${ADDRESS[$1]}\"}}"
  kill -TERM "${PID[$1]}"
  wait "${PID[$1]}" || code=$?
  unset "PID[$1]"
  saw "{\"stopped\":{\"entry\":\"${ADDRESS[$1]}\",\"code\":$code}}"
}

cleanup() {
  local code=$? name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2> /dev/null || true
    kill -TERM "${PID[$name]}" 2> /dev/null || true
  done
  for name in "${!PID[@]}"; do
    wait "${PID[$name]}" 2> /dev/null || true
  done
  if [ "$code" -ne 0 ] || [ -n "${KEEP:-}" ]; then
    echo "outputs are kept in $WORK" >&2
  else
    rm -rf "$WORK"
  fi
  exit "$code"
}
trap cleanup EXIT
