# Plays the case `number` and ends every process that it started, however it ends; run.sh of
# each case reads this file.
program=target/review/case-$number
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/release/flamingolock ] || { echo "run the build of deploy/system.toml first"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR

# Ends what is left by its id, unless the id belongs to another program by now.
end_all() {
  # timeout passes the signal on to the program; no node starts after both have ended.
  if [ -n "${limiter:-}" ] && kill -TERM "$limiter" 2>/dev/null; then wait "$limiter" 2>/dev/null; fi
  while read -r id; do
    case $(tr '\0' ' ' 2>/dev/null <"/proc/$id/cmdline") in
      target/release/flamingolock\ entry*) kill -KILL "$id" 2>/dev/null ;;
    esac
  done < <(cat "$TMPDIR/processes" 2>/dev/null)
  rm -rf "$TMPDIR"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

# The time limit ends the program alone; its nodes are ended above.
timeout --foreground --signal=KILL "${LIMIT_S:-115}" "$program" &
limiter=$!
wait "$limiter"
code=$?
limiter=
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
