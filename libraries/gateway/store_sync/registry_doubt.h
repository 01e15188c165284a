// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <nlohmann/json.hpp>

namespace postpaddle::gateway {

/// Options of the evidence that the store was away.
[[nodiscard]] host::outage_options outage_options_of(const gateway_state& state);

/// Whether the store was away recently: entries may have expired although their upstreams are alive.
[[nodiscard]] decision::registry_condition registry_condition_of(const gateway_state& state);

/// Whether this host tells others that the store is away.
[[nodiscard]] bool is_store_absent(const gateway_state& state);

/// For operators and the log: whether this host doubts that entries which go belong to upstreams that leave,
/// on what that rests, and whether it may use what it knows of the registry.
[[nodiscard]] nlohmann::json describe_registry_doubt(const gateway_state& state);

} // namespace postpaddle::gateway
