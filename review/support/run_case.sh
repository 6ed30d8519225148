# Runs the program of the case in whose folder the calling script lies. Sourced by run.sh.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
FOLDER=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$FOLDER/../.." || exit 2
PROGRAM=build-review/case_$(basename "$FOLDER")
[[ -x $PROGRAM && -x target/tanagerspur_gateway ]] ||
    { echo "build the deploy file and run review/build.sh first"; exit 2; }
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
TROUBLE=${TROUBLE:-1} timeout -s KILL 118 "$PROGRAM" "$WORK" "$FOLDER/record.txt"
CODE=$?
((CODE == 0 || CODE == 1)) || CODE=2
exit "$CODE"
