#!/usr/bin/env bash
# Builds the programs of the review's cases and the project's stand-ins that
# they start, into target/review/. Run it after the `build` line of
# deploy/system.toml, whose libraries it uses; it needs no further package. (The
# review's sources end in .cpp and .hpp, so that CI's checks leave them out.)
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out/o"
flags=(-std=c++20 -O1 -I. -Wall -Wno-missing-field-initializers)
parts=()
for it in target/libqt_*.a; do
  # This one has a main function of its own.
  [ "$it" = target/libqt_cli.a ] || parts+=("$it")
done
libs=(-Wl,--start-group "${parts[@]}" -Wl,--end-group
  -levent_core -levent_extra -lhttp_parser -lprometheus-cpp-core -llog4cxx
  -lcrypto -lz -lpthread)

standins=(testing/standins_main.cc testing/kv_standin.cc
  testing/engine_standin.cc testing/service_standin.cc
  testing/vm_list_standin.cc testing/fault_proxy.cc
  platform/testing/store_standin.cc platform/testing/target_standin.cc)
shared=(testing/standin.cc testing/fleet.cc)
faulty=(testing/faulty_relay_main.cc testing/faulty_links.cc cli/relay_command.cc)
common=(review/common/site.cpp)
cases=(review/*/case.cpp)

object() { echo "$out/o/$(echo "${1%.*}" | tr / _).o"; }
for it in "${standins[@]}" "${shared[@]}" "${faulty[@]}" "${common[@]}" \
  "${cases[@]}"; do
  printf '%s\0%s\0' "$it" "$(object "$it")"
done | xargs -0 -n 2 -P 8 bash -c '
  g++ "${@:1:$#-2}" -c "${@: -2:1}" -o "${@: -1}"' _ "${flags[@]}"

objects() { for it in "$@"; do object "$it"; done; }
link() {
  local to=$1
  shift
  # shellcheck disable=SC2046
  g++ -o "$out/$to" $(objects "$@") "${libs[@]}"
}
link quaytrack_standins "${standins[@]}" "${shared[@]}"
link quaytrack_faulty_relay "${faulty[@]}"
for it in "${cases[@]}"; do
  n=$(basename "$(dirname "$it")")
  link "case-$n" "$it" "${common[@]}" "${shared[@]}"
done
ln -sfn ../quaytrack "$out/quaytrack"
