// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <wire/caller_connection.h>

namespace postpaddle::gateway {

/// Bytes of a forwarded request beside the caller's message: names, figures and encoding.
inline constexpr std::size_t max_forwarding_overhead = 16UL * 1024;

/// Limits that callers' connections are under at the moment; defaults until a version of the settings is
/// known.
[[nodiscard]] wire::connection_bounds caller_bounds(const gateway_state& state);

} // namespace postpaddle::gateway
