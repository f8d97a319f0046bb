# Runs the program of a case and ends the daemons that it started, whatever ends it. Sourced in the
# folder of the case, with `program` and `arguments` set.
root=$(cd ../.. && pwd)
PIDS=$(mktemp) || exit 2
export PIDS
end_daemons() {
    while read -r id; do
        [ "$(cat "/proc/$id/comm" 2>/dev/null)" = yuccaliftd ] && kill -9 "$id"
    done < "$PIDS"
    rm -f "$PIDS"
}
trap 'kill "$child" 2>/dev/null' INT TERM
# shellcheck disable=SC2086
"$root/target/review-2/$program" "$root" "${OUT:-$(pwd)}" $arguments &
child=$!
wait "$child"
status=$?
end_daemons
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
