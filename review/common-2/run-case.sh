# Runs the program of the case whose folder is given, with a limit on its time.
# The program ends all processes that it starts; its exit code is that of the
# case: 1 broken, 0 held, 2 could not run.
cd "$1"
program=../../target/review-2/case-$(basename "$PWD")
[ -x "$program" ] && [ -x ../../target/quaytrack ] || exit 2
timeout --signal=KILL 115 "$program"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
