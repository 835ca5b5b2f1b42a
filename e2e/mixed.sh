#!/usr/bin/env bash
# Runs the end-to-end suites with processes of another build beside, or followed by, those of this tree.
#
#   e2e/mixed.sh OLD [PACKAGE...]
#
# OLD is a directory with the other build's fulmarspindle and fulmarside (made by: make build BIN=OLD).
# PACKAGE are the suites to run, all of PACKAGES below by default. Each suite runs once in each mode:
#   beside     about half of the processes, by the checksum of their settings file's name, run OLD
#   swapped    the other half
#   upgrade    each process runs OLD at its first start and this tree's build at later ones
#   downgrade  the reverse
# MODES="beside swapped" limits the modes. The binaries in .bin are replaced while this runs, so nothing else
# may use them meanwhile.
set -euo pipefail

PACKAGES="./e2e/path ./e2e/answers ./e2e/once ./e2e/poison ./e2e/membership ./e2e/configuration ./e2e/partition ./e2e/gateway ./e2e/soak"
MODES=${MODES:-beside swapped upgrade downgrade}

if [ $# -lt 1 ]; then
  echo "usage: e2e/mixed.sh OLD [PACKAGE...]" >&2
  exit 2
fi
for binary in fulmarspindle fulmarside; do
  if [ ! -x "$1/$binary" ]; then
    echo "e2e/mixed.sh: no build to run beside this one: $1/$binary is not an executable" >&2
    exit 2
  fi
done
old=$(cd "$1" && pwd)
shift
[ $# -gt 0 ] || read -ra packages <<<"$PACKAGES"
[ $# -eq 0 ] || packages=("$@")

cd "$(dirname "$0")/.."
make build
new="$PWD/.bin/new"
mkdir -p "$new"
restore() { mv "$new"/* .bin/ && rmdir "$new"; }
trap restore EXIT
mv .bin/fulmarspindle .bin/fulmarside "$new/"

# shim BINARY MODE writes a script in place of BINARY that runs one of the two builds. The last argument of each
# process is taken as its settings file; FILE.started marks that a process has been started with it.
shim() {
  cat >".bin/$1" <<SHIM
#!/usr/bin/env bash
for word in "\$@"; do settings=\$word; done
sum=\$(basename "\$settings" | cksum)
# Bit 3: the lowest bits are the same for most names that differ in one digit.
half=\$((\${sum%% *} / 8 % 2))
started=0
if [ -f "\$settings" ] && [ "\${1:-}" != config ]; then
  [ ! -e "\$settings.started" ] || started=1
  : >"\$settings.started"
fi
case $2 in
  beside) use=\$half ;;
  swapped) use=\$((1 - half)) ;;
  upgrade) use=\$started ;;
  downgrade) use=\$((1 - started)) ;;
esac
build=$old label=old
[ "\$use" = 0 ] || build=$new label=new
[ ! -f "\$settings" ] || echo "\$label/$1" >>"$new/runs.log"
exec "\$build/$1" "\$@"
SHIM
  chmod +x ".bin/$1"
}

# listed prints the specs of a package that KNOWN-RED.txt lists as failing, as a pattern that skips them.
listed() {
  awk -F' *[|] *' -v p="$1: " 'index($1, p) == 1 {
    out = out sep substr($1, length(p) + 1); sep = "|"
  } END {print out}' KNOWN-RED.txt
}

# suite runs the specs of one package, but for those that listed prints.
suite() {
  local skip
  skip=$(listed "$1")
  [ -z "$skip" ] || echo "$1 without: $skip"
  go test -count=1 "$1" ${skip:+-ginkgo.skip "$skip"}
}

failed=0
for mode in $MODES; do
  shim fulmarspindle "$mode"
  shim fulmarside "$mode"
  : >"$new/runs.log"
  echo "mode $mode: ${packages[*]}"
  for package in "${packages[@]}"; do
    suite "$package" || failed=1
  done
  echo "mode $mode: starts by build:"
  sort "$new/runs.log" | uniq -c
  rm "$new/runs.log" .bin/fulmarspindle .bin/fulmarside
done
exit "$failed"
