#!/usr/bin/env bash
# Starts a small fleet on this machine (a stand-in platform, three stand-in
# engines, a plain service and two daemons), streams an answer, shows that a
# returning chat is found warm, and stops everything again. Needs `make build`.
set -euo pipefail
cd "$(dirname "$0")/.."
dir="$(mktemp -d)"
pids=()

stop_all() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop_all EXIT

# start NAME COMMAND... runs a program and waits until it listens.
start() {
	local name="$1"
	shift
	"$@" 2>"$dir/$name.log" &
	pids+=("$!")
	for _ in $(seq 200); do
		if grep -q '"msg":"listening"' "$dir/$name.log"; then return; fi
		sleep 0.05
	done
	echo "$name does not listen:" >&2
	cat "$dir/$name.log" >&2
	exit 1
}

# address NAME [KEY] prints an address that a program listens on.
address() {
	grep '"msg":"listening"' "$dir/$1.log" | sed -E "s/.*\"${2:-address}\":\"([^\"]+)\".*/\1/"
}

start platform bin/hemlockknot-standin platform
start old bin/hemlockknot-standin engine --capacity 8 --token-time 10ms --tokens 3
start middle bin/hemlockknot-standin engine --capacity 16 --token-time 5ms --tokens 3
start new bin/hemlockknot-standin engine --capacity 32 --token-time 2ms --tokens 3
start ledger bin/hemlockknot-standin service

key="demo-key"
cat >"$dir/environment.yaml" <<YAML
name: demo
places:
  - {name: north, failure_domain: north}
  - {name: south, failure_domain: south}
services:
  - {name: sheet-writer, kind: model, models: [demo-model]}
  - name: ledger-desk
    kind: plain
    path: /ledger/
    repeatable:
      - {method: GET, path: "/ledger/*"}
engines:
  - {name: old, service: sheet-writer, place: north, address: "$(address old)", capacity: 8}
  - {name: middle, service: sheet-writer, place: north, address: "$(address middle)", capacity: 16}
  - {name: new, service: sheet-writer, place: south, address: "$(address new)", capacity: 32}
  - {name: ledger, service: ledger-desk, place: north, address: "$(address ledger)", capacity: 16}
workspaces:
  - {name: members, keys_sha256: ["$(printf %s "$key" | sha256sum | cut -d' ' -f1)"]}
YAML
bin/hemlockknotctl env apply --platform "http://$(address platform)" --environment demo "$dir/environment.yaml"

# settings NAME DOMAIN PEERS writes a daemon's settings file.
settings() {
	cat >"$dir/$1.yaml" <<YAML
name: $1
place: $2
failure_domain: $2
environment: demo
platform: {url: "http://$(address platform)"}
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
bootstrap_peers: [$3]
YAML
}
settings daemon-1 north ""
start daemon-1 bin/hemlockknotd run --config "$dir/daemon-1.yaml"
settings daemon-2 south "\"$(address daemon-1 peers)\""
start daemon-2 bin/hemlockknotd run --config "$dir/daemon-2.yaml"

# in_force NAME waits until a daemon has the document in force.
in_force() {
	for _ in $(seq 200); do
		if grep -q '"msg":"document in force"' "$dir/$1.log"; then return; fi
		sleep 0.05
	done
	echo "$1 has no document in force" >&2
	exit 1
}
in_force daemon-1
in_force daemon-2

# ask DAEMON CHAT MESSAGE... asks the model and prints the answer.
ask() {
	local base
	base="http://$(address "$1" callers)/v1"
	shift
	bin/hemlockknot-standin ask --base-url "$base" --key "$key" --model demo-model --chat "$@"
}
opening="Draft a price sheet for frozen prawn, 20 kg blocks, landed this morning."
reply="Grade A at 9.40, grade B at 8.10 a kilogram."
echo "A chat begins at daemon-1:"
ask daemon-1 prawn-sheet "$opening"
echo "It returns at daemon-2 and finds its context warm:"
ask daemon-2 prawn-sheet "$opening" "$reply" "And for 10 kg blocks?"
echo "Another chat begins at daemon-2:"
ask daemon-2 squid-query "What was the landed rate of squid yesterday?"
