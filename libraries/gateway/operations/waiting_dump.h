// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <cstddef>

namespace postpaddle::gateway {

/// Rows for each queue of a service. Bounds the size of the dump; the rest is only counted.
inline constexpr std::size_t max_waiting_rows = 64;

/// This host's requests that wait, as JSON for operators: by service, those that wait for an engine slot and
/// those that wait for a send slot, each in the order in which they would be served, with the facts behind
/// their last decisions. Contains neither keys nor prompts, and no requests whose callers have disconnected.
[[nodiscard]] nlohmann::json dump_waiting(const gateway_state& state);

} // namespace postpaddle::gateway
