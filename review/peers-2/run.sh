#!/bin/sh
# Runs the test of one case: run.sh FOLDER. Exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
test=target/review-2/case-$(basename "$folder")
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ ! -x "$test" ] || [ ! -x target/release/shard-broker ] || [ -z "$RUN_COMMAND" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
CASE_FOLDER=$folder
CASE_TMP=$(mktemp -d) || exit 2
export RUN_COMMAND CASE_FOLDER CASE_TMP
end() {
    # The test ends its brokers by itself. These are left over only if it was ended from outside.
    [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
    [ -f "$CASE_TMP/pids" ] && while read -r broker; do kill -KILL "$broker" 2>/dev/null; done <"$CASE_TMP/pids"
    [ -n "$KEEP_LOGS" ] && cp "$CASE_TMP"/*.log "$KEEP_LOGS"
    rm -rf "$CASE_TMP"
}
pid=
trap 'end; exit 2' INT TERM HUP
"$test" &
pid=$!
wait "$pid"
code=$?
pid=
end
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
