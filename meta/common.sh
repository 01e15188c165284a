# SPDX-License-Identifier: BSD-2-Clause
# Sourced by the other scripts: packages and build.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build="${POSTPADDLE_BUILD:-$top/build}"

say() { printf '== %s\n' "$*" >&2; }

# Installs what packages.txt names and is missing.
install_packages() {
    local missing=()
    local name
    while read -r name; do
        [ -n "$name" ] || continue
        dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || missing+=("$name")
    done < "$top/meta/packages.txt"
    [ "${#missing[@]}" -eq 0 ] && return 0
    if [ "$(id -u)" -ne 0 ]; then
        printf 'These packages are missing and only root can install them:\n  apt-get install %s\n' "${missing[*]}" >&2
        return 1
    fi
    say "installing ${missing[*]}"
    apt-get update >&2 &&
        DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}" >&2
}

# Configures and builds all; further arguments go to ninja.
build_all() {
    say "building in $build"
    cmake -S "$top" -B "$build" -G Ninja >"$build.cmake.log" 2>&1 || { cat "$build.cmake.log" >&2; return 1; }
    ninja -C "$build" "$@" >&2
}
