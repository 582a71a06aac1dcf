#!/usr/bin/env bash
# The one entry to building, testing and checking. See BUILDING.md.
set -euo pipefail
cd "$(dirname "$0")"

# Jobs at a time, of builds, lint and unit tests.
JOBS=${JOBS:-$(nproc)}

PACKAGES=(g++ cmake ninja-build ccache clang clang-format clang-tidy python3
  libboost-dev libboost-fiber-dev libboost-context-dev
  libjsonrpccpp-dev libjsoncpp-dev libtomlplusplus-dev libcli11-dev
  liblog4cplus-dev doctest-dev libssl-dev
  protobuf-compiler libprotobuf-dev)

# Tests in which threads meet without fibers: the thread sanitizer can't
# follow a switch of stacks.
THREAD_TESTS=(utils_test telemetry_test)

usage() {
  cat <<'TEXT'
usage: ./build.sh COMMAND
  packages   install Debian's packages that the build needs (as root)
  build      build everything into build/
  test       build, then run every test
  demo       build, then run the main job: see README.md
  release    build the daemon optimised, as deployed, into build-release/
  sanitize   unit tests with address and undefined-behaviour sanitizers
  sanitize-fleet
             the same with real processes: fleet_config_test and the daemon
  threads    concurrency tests with the thread sanitizer
  format     format every source; with --check only tell
  lint       run clang-tidy on every source that changed since it passed
  generated  check that generated code matches its schema
  pages      write docs/SETTINGS.md and docs/ERRORS.md anew from the code;
             with --check only compare
TEXT
}

sources() {
  git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '/generated/'
}

configure() { # DIR [OPTIONS...]
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
}

compile() { # DIR [OPTIONS...]
  cmake --build "$@" -j "$JOBS"
}

build() {
  configure build
  compile build
}

lint() {
  configure build
  sources | grep '\.cpp$' | cmake/lint.py "$JOBS"
}

install_packages() {
  local missing=()
  for package in "${PACKAGES[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}"
  fi
}

check_generated_from() { # PROTO_DIR GENERATED_DIR
  local fresh
  fresh=$(mktemp -d)
  protoc --proto_path="$1" --cpp_out="$fresh" "$1"/*.proto
  diff -r "$fresh" "$2"
  rm -r "$fresh"
}

check_generated() {
  check_generated_from libs/schema/proto libs/schema/generated/schema
  check_generated_from fakes/proto fakes/generated/fakes
}

write_pages() { # DIR
  local tool=build/bin/waxwingyoke
  for kind in daemon tool profile; do
    "$tool" settings reference --kind "$kind"
  done >"$1/SETTINGS.md"
  "$tool" settings errors >"$1/ERRORS.md"
}

check_pages() {
  local fresh
  fresh=$(mktemp -d)
  write_pages "$fresh"
  diff "$fresh/SETTINGS.md" docs/SETTINGS.md
  diff "$fresh/ERRORS.md" docs/ERRORS.md
  rm -r "$fresh"
}

# Lists unit test programs: everything that ctest knows but the integration
# tests, which start other processes.
run_unit_tests() { # BUILD_DIR
  ctest --test-dir "$1" --output-on-failure -j "$JOBS" -LE integration
}

configure_sanitized() {
  configure build-asan -DWAXWINGYOKE_SANITIZE=address -DCMAKE_BUILD_TYPE=Debug -DWAXWINGYOKE_UNIT_ONLY=ON
}

# The daemons write their reports beside the test, which doesn't read their
# output; each report is a failure, also of a process that the test ended.
sanitize_fleet() {
  local reports passed=yes
  configure_sanitized
  compile build-asan --target fleet_config_test
  reports=$(mktemp -d)
  ASAN_OPTIONS=log_path="$reports/report" UBSAN_OPTIONS=log_path="$reports/report" \
    build-asan/platform/tests/fleet_config_test || passed=no
  if [ -n "$(ls "$reports")" ]; then
    cat "$reports"/*
    passed=no
  fi
  rm -r "$reports"
  [ $passed = yes ]
}

case "${1:-}" in
  packages) install_packages ;;
  build) build ;;
  test)
    build
    ctest --test-dir build --output-on-failure -j 4
    ;;
  demo)
    install_packages
    build
    build/bin/waxwingyoke-demo
    ;;
  release)
    configure build-release -DCMAKE_BUILD_TYPE=Release -DWAXWINGYOKE_DEPLOY=ON
    compile build-release --target waxwingyoked
    ;;
  sanitize)
    configure_sanitized
    compile build-asan
    run_unit_tests build-asan
    ;;
  sanitize-fleet) sanitize_fleet ;;
  threads)
    configure build-tsan -DWAXWINGYOKE_SANITIZE=thread -DWAXWINGYOKE_UNIT_ONLY=ON
    compile build-tsan --target "${THREAD_TESTS[@]}"
    ctest --test-dir build-tsan --output-on-failure -R "^($(IFS='|'; echo "${THREAD_TESTS[*]}"))\$"
    ;;
  format)
    if [ "${2:-}" = --check ]; then
      sources | xargs clang-format --dry-run --Werror
    else
      sources | xargs clang-format -i
    fi
    ;;
  lint) lint ;;
  generated) check_generated ;;
  pages)
    if [ "${2:-}" = --check ]; then check_pages; else write_pages docs; fi
    ;;
  *)
    usage
    exit 2
    ;;
esac
