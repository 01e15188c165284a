// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <wire/bounded_response.h>

#include <string>

namespace postpaddle::gateway {

/// Largest body of a report. One names each of the engine's runs.
inline constexpr std::size_t max_report_bytes = 256UL * 1024;

/// Sends an upstream a call, such as a report, a listing or an order, and reads the whole answer.
///
/// Calls share connections with requests but have no id. An answer that names a request is a late one to that
/// request: the call fails, and the connection is closed.
[[nodiscard]] wire::expected<wire::http_response>
call_upstream(gateway_state& state, const std::string& address, const wire::http_request& call,
              const wire::fetch_limits& limits, wire::yield_context yield,
              wire::connection_use use = wire::connection_use::may_reuse);

} // namespace postpaddle::gateway
