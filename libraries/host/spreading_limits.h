// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <settings/routing_settings.h>

#include <optional>
#include <vector>

namespace postpaddle::host {

/// Limits of a version of the settings that a newer one has superseded on this host.
struct superseded_limits {
    settings::caller_limits limits;
    base::time_point until{}; ///< Until then the version may be in force on other hosts.

    bool operator==(const superseded_limits&) const = default;
};

/// Limits on callers while versions of the settings spread from host to host.
///
/// A caller learns no version: it may go by any that may be in force somewhere. A request is therefore denied
/// only if none of them allows it.
struct spreading_limits {
    std::optional<settings::caller_limits> newest; ///< Empty until a version is known.
    std::vector<superseded_limits> superseded;

    bool operator==(const spreading_limits&) const = default;
};

/// Puts the limits of a newer version in force. The former ones stay allowed for `bound`, within which a
/// version is in force on every host.
void apply_limits(spreading_limits& limits, const settings::caller_limits& next, base::time_point now,
                  base::duration bound);

/// The largest of each limit over all versions that may be in force; nothing until a version is known.
[[nodiscard]] std::optional<settings::caller_limits> limits_in_force(const spreading_limits& limits,
                                                                     base::time_point now);

} // namespace postpaddle::host
