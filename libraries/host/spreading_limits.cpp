// SPDX-License-Identifier: BSD-2-Clause
#include <host/spreading_limits.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

settings::caller_limits larger_of(const settings::caller_limits& left, const settings::caller_limits& right) {
    return {.header_bytes = std::max(left.header_bytes, right.header_bytes),
            .body_bytes = std::max(left.body_bytes, right.body_bytes),
            .header_timeout = std::max(left.header_timeout, right.header_timeout),
            .idle_timeout = std::max(left.idle_timeout, right.idle_timeout)};
}

} // namespace

void apply_limits(spreading_limits& limits, const settings::caller_limits& next, base::time_point now,
                  base::duration bound) {
    std::erase_if(limits.superseded, [now](const superseded_limits& former) { return former.until <= now; });
    // Most versions leave the limits as they are.
    if (limits.newest && limits.newest != next)
        limits.superseded.push_back({.limits = *limits.newest, .until = now + bound});
    limits.newest = next;
}

std::optional<settings::caller_limits> limits_in_force(const spreading_limits& limits, base::time_point now) {
    std::optional<settings::caller_limits> in_force = limits.newest;
    for (const superseded_limits& former : limits.superseded)
        if (in_force && now < former.until)
            in_force = larger_of(*in_force, former.limits);
    return in_force;
}

} // namespace postpaddle::host
