#!/bin/bash
# Builds the program, starts a small cell on loopback, publishes the kite venture's rules, runs a few jobs, shows the
# cluster and shuts everything down. Exits with 1 if any step fails.
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=${BUILD_DIR:-build}
program=$build_dir/bin/cranberryshunt
./meta/install-packages.sh
./meta/build.sh --target cranberryshunt standin_target

folder=$(mktemp -d)
declare -A pids=()  # The script ends only processes that it started.
first_port=${RUN_PORT:-17400}
controller_port=$first_port
entry_port=$((first_port + 10))
target_port=$((first_port + 20))

# Random secrets for this run. A cell in production reads them from files.
export CRANBERRYSHUNT_CLUSTER_SECRET CRANBERRYSHUNT_CALLER_TOKEN CRANBERRYSHUNT_TARGET_TOKEN
export CRANBERRYSHUNT_OPERATOR_TOKEN CRANBERRYSHUNT_ENTRY
CRANBERRYSHUNT_CLUSTER_SECRET=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
CRANBERRYSHUNT_CALLER_TOKEN=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
CRANBERRYSHUNT_TARGET_TOKEN=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
CRANBERRYSHUNT_OPERATOR_TOKEN=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
CRANBERRYSHUNT_ENTRY=127.0.0.1:$entry_port,127.0.0.1:$((entry_port + 1))

end_all() {
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

fail() {
  echo "run: FAILED: $1" >&2
  for log in "$folder"/*.log; do
    echo "---- $log" >&2
    tail -n 15 "$log" >&2
  done
  exit 1
}

finish() {
  local code=$?
  end_all
  rm -rf "$folder"
  exit "$code"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids[$name]=$!
}

# Waits up to $1 seconds until the rest of the arguments succeed as a command.
wait_until() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}

live_workers() {
  [ "$("$program" cluster --json --timeout 1000 2>/dev/null | grep -o '"live":true' | wc -l)" -eq "$1" ]
}

stop() {
  local name=$1 code=0
  kill -TERM "${pids[$name]}"
  wait "${pids[$name]}" || code=$?
  unset "pids[$name]"
  [ "$code" -eq 0 ] || fail "$name ended with exit code $code"
}

echo "run: starting 3 controllers, 2 entries and 6 workers in $folder"
members=controller-0=127.0.0.1:$controller_port
members+=,controller-1=127.0.0.1:$((controller_port + 1)),controller-2=127.0.0.1:$((controller_port + 2))
controllers=127.0.0.1:$controller_port,127.0.0.1:$((controller_port + 1)),127.0.0.1:$((controller_port + 2))
for n in 0 1 2; do
  start "controller-$n" "$program" controller --id "controller-$n" --listen "127.0.0.1:$((controller_port + n))" \
    --data "$folder/controller-$n" --region gold-coast --zone "gc-$((n % 2 + 1))" --members "$members" --bootstrap
done
for n in 0 1; do
  start "entry-$n" "$program" entry --id "entry-$n" --listen "127.0.0.1:$((entry_port + n))" \
    --controllers "$controllers" --region gold-coast --zone "gc-$((n + 1))" --entries 2 --drain-grace 200
done
for n in 0 1; do
  start "targets-$n" "$build_dir/bin/standin_target" --identity "beach-$n" --count 3 \
    --port "$((target_port + 10 * n))" --entries "$CRANBERRYSHUNT_ENTRY" --records "$folder/records.jsonl" \
    --region gold-coast --zones "gc-$((n + 1))" --rack-size 3
done
wait_until 20 live_workers 6 || fail "the workers did not become live"

echo "run: publishing examples/kite"
"$program" rules publish examples/kite --operator run --timeout 15000 || fail "publishing the rules"

submit() {
  local title=$1
  shift
  echo "run: $title"
  "$program" submit --memory-bytes 268435456 --timeout 20000 "$@" || fail "$title"
}

submit "coastal model run (batch, exclusive)" --team noosa --service coastal-model --kind batch --exclusive \
  --milli-cpus 8000 --family coastal-model --payload 'request=coastal;sleep=300;exclusive=1;answer=13 knots SE'
submit "spot gust refresh (batch)" --team byron --service spot-gust --kind batch --milli-cpus 1000 \
  --payload 'request=gust;sleep=100;answer=gusts to 19 knots'

echo "run: burst of 20 launch checks (interactive)"
burst=()
for n in $(seq 20); do
  "$program" submit --team currumbin --service launch-check --kind interactive --milli-cpus 200 \
    --memory-bytes 67108864 --timeout 20000 --json --payload "request=launch-$n;sleep=20;answer=launch $n is safe" \
    >"$folder/launch-$n.json" 2>"$folder/launch-$n.err" &
  burst+=($!)
done
for n in $(seq 20); do
  wait "${burst[$((n - 1))]}" || fail "launch check $n: $(cat "$folder/launch-$n.json" "$folder/launch-$n.err")"
  grep -q "\"answer\":\"launch $n is safe\"" "$folder/launch-$n.json" || fail "launch check $n got another answer"
  grep -o '"worker":"[^"]*"\|"answer":"[^"]*"' "$folder/launch-$n.json" | tr '\n' ' '
  echo
done

submit "loom booking (interactive, non-idempotent)" --team weavers --service loom-booking --kind interactive \
  --non-idempotent --milli-cpus 200 --payload 'request=loom;once=1;sleep=20;answer=loom 4 on Tuesday'
starts=$(grep '"event":"start"' "$folder/records.jsonl" | grep -c '"request":"loom"' || true)
[ "$starts" -eq 1 ] || fail "the loom booking was started $starts times"

echo "run: cluster"
"$program" cluster || fail "reading the cluster"

echo "run: shutting down"
for name in targets-0 targets-1 entry-0 entry-1 controller-0 controller-1 controller-2; do
  stop "$name"
done
echo "run: all processes ended cleanly"
