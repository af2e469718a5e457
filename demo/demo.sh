#!/usr/bin/env bash
# Runs a platform stand-in, three nodes in three failure domains and three
# backend server stand-ins; posts, reads and uploads through a node that does not
# own the key.
# usage: demo.sh BUILD_FOLDER WORK_FOLDER
set -euo pipefail
build=$1
work=$2
rm -rf "$work"
mkdir -p "$work"
platform=127.0.0.1:7100
pids=()

Stop() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap Stop EXIT

Fail() {
  echo "demo: FAILED: $*" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}

Start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# Repeats a command until it succeeds, at most 200 times, 0.1 s apart.
Await() { # WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  Fail "timed out after 200 attempts waiting for: $what"
}

AllOwned() {
  local shards
  shards=$("$build/plantaindale" shards --platform "$platform" --output json)
  [ "$(grep -c '"owner_acts":true' <<<"$shards")" = 96 ]
}

echo "== starting the platform, 3 nodes and 3 backend servers"
Start platform "$build/platform_stand_in" "$platform"
for i in 1 2 3; do
  cat >"$work/n$i.yaml" <<YAML
name: n$i
region: khangai
failure_domain: soum-$i
platform: $platform
listen:
  caller: 127.0.0.1:71${i}0
  peer: 127.0.0.1:71${i}1
  control: 127.0.0.1:71${i}2
  admin: 127.0.0.1:71${i}3
YAML
  Start "n$i" "$build/plantaindale" serve --settings "$work/n$i.yaml"
  Start "server$i" "$build/backend_server_stand_in" \
    --listen "127.0.0.1:71${i}4" --announce-to "127.0.0.1:71${i}3" \
    --service board --slots 12 --connections 130 --checks-fences \
    --run-log "$work/runs.txt"
done

echo "== submitting the configuration based on version 0"
Await "the platform" "$build/plantaindale" config get --platform "$platform"
"$build/plantaindale" config patch --platform "$platform" --base-version 0 \
  --file "$(dirname "$0")/../examples/tsagaan-duu.yaml"
if "$build/plantaindale" config patch --platform "$platform" --base-version 0 \
  --file "$(dirname "$0")/../examples/tsagaan-duu.yaml" 2>"$work/stale.txt"; then
  Fail "a patch based on stale version 0 was accepted; expected a refusal"
fi
echo "   a second patch based on version 0 is refused: $(cat "$work/stale.txt")"

Await "an owner for each shard" AllOwned
echo "== nodes"
"$build/plantaindale" nodes --platform "$platform"
key=district-7
echo "== who owns $key"
"$build/plantaindale" owner --platform "$platform" --service board "$key"
owner=$("$build/plantaindale" owner --platform "$platform" --service board \
  --output json "$key" | sed -n 's/.*"owner":"n\([0-9]*\)#.*/\1/p')
entry=$((owner % 3 + 1))
url=http://127.0.0.1:71${entry}0/board/$key
server=127.0.0.1:71${owner}4

Expect() { # WHAT ANSWER PATTERN
  [[ $2 == *"$3"* ]] || Fail "$1: expected $3 in: $2"
}

echo "== posting a notice through n$entry (the owner is n$owner)"
answer=$(curl -sS --max-time 10 -H 'X-Tag: post-1' -d 'storm tonight' "$url")
echo "   $answer"
Expect post "$answer" "\"server\":\"$server\""
Expect post "$answer" '"tag":"post-1"'
Expect post "$answer" '"count":1'

echo "== reading it"
answer=$(curl -sS --max-time 10 -H 'X-Tag: read-1' "$url")
echo "   $answer"
Expect read "$answer" "\"server\":\"$server\""
Expect read "$answer" '"notices":["storm tonight"]'

echo "== uploading 20 MB"
head -c 20000000 /dev/urandom >"$work/upload.bin"
answer=$(curl -sS --max-time 60 -X PUT -H 'X-Tag: put-1' \
  -T "$work/upload.bin" "$url/recording")
hash=$(xxhsum -H64 "$work/upload.bin" 2>/dev/null | cut -d' ' -f1)
echo "   $answer"
Expect upload "$answer" '"bytes":20000000'
Expect upload "$answer" "\"server\":\"$server\""
Expect upload "$answer" "\"hash\":\"$hash\""

echo "== all requests ran on the server of $key's owner"
servers=$(awk '$1 == "begin" { print $3 }' "$work/runs.txt" | sort -u)
[ "$servers" = "$server" ] || Fail "expected all runs at $server, got: $servers"
echo "   $servers"

echo "== first lines of the dump of n$owner"
"$build/plantaindale" dump --platform "$platform" "n$owner" >"$work/dump.json"
head -n 24 "$work/dump.json"
echo "demo: passed; all responses were complete, correct and from the owner"
