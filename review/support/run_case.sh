# Runs the program of the case in whose folder the calling script lies. Sourced by run.sh, which sets
# TROUBLE.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
FOLDER=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$FOLDER/../.." || exit 2
PROGRAM=build-review/case_$(basename "$FOLDER")
[[ -x $PROGRAM && -x target/tanagerspur_gateway ]] ||
    { echo "build the deploy file and run review/build.sh first"; exit 2; }
WORK=$(mktemp -d) || exit 2
# timeout leads a process group of its own, in which all processes of the case run.
end_all() {
    [[ -z ${GROUP:-} ]] || kill -KILL -- "-$GROUP" 2>/dev/null
    rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' TERM INT HUP
timeout -s KILL 118 "$PROGRAM" "$WORK" "$FOLDER/record.txt" &
GROUP=$!
wait "$GROUP"
CODE=$?
((CODE == 0 || CODE == 1)) || CODE=2
exit "$CODE"
