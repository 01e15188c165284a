# SPDX-License-Identifier: BSD-2-Clause
# Sourced by the other scripts: installs packages and builds.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build="${POSTPADDLE_BUILD:-$top/build}"

log() { printf '== %s\n' "$*" >&2; }

# Installs those packages of packages.txt that are missing.
install_packages() {
    local missing=()
    local name
    while read -r name; do
        [ -n "$name" ] || continue
        dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || missing+=("$name")
    done < "$top/meta/packages.txt"
    [ "${#missing[@]}" -eq 0 ] && return 0
    if [ "$(id -u)" -ne 0 ]; then
        printf 'missing packages; install them as root:\n  apt-get install %s\n' "${missing[*]}" >&2
        return 1
    fi
    log "installing ${missing[*]}"
    apt-get update >&2 &&
        DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}" >&2
}

# Configures and runs ninja with the given arguments; without arguments, builds all targets.
build_all() {
    # Different checkouts share compiled objects if ccache is installed.
    if command -v ccache >/dev/null; then
        export CMAKE_CXX_COMPILER_LAUNCHER=ccache CCACHE_BASEDIR="$top" CCACHE_NOHASHDIR=1
    fi
    log "building in $build"
    cmake -S "$top" -B "$build" -G Ninja >"$build.cmake.log" 2>&1 || { cat "$build.cmake.log" >&2; return 1; }
    ninja -C "$build" "$@" >&2
}
