// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/membership.h>

#include <optional>
#include <string_view>
#include <vector>

namespace postpaddle::host {

/// Owner of a key among the working hosts, by rendezvous hashing. Hosts with differing views may pick
/// different owners, so callers must not rely on the owner being unique. Source: Thaler and Ravishankar,
/// "Using name-based mappings to increase hit rates" (1998).
[[nodiscard]] std::optional<member> rendezvous_owner(const std::vector<member>& working,
                                                     std::string_view key);

} // namespace postpaddle::host
