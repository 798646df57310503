# Sourced by the run.sh of a case: runs one scenario and ends the nodes that it started.
# Usage: run_scenario NAME FOLDER
run_scenario() {
    local name=$1 folder=$2 work code=0
    cd "$folder/../.."
    if [ ! -x target/review-2/scenario ] || [ ! -x target/release/bluebellswitch ]; then
        echo "build first: the deploy file's build, then review/build-2.sh" >&2
        exit 2
    fi
    work=$(mktemp -d)
    WORK=$work timeout 118 target/review-2/scenario "$name" "$folder" || code=$?
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = bluebellswitch ]; then
                kill -9 "$pid" 2>/dev/null || true
            fi
        done < "$work/pids"
    fi
    rm -rf "$work"
    case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
}
