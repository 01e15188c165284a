// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/http_client.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace postpaddle::wire {

/// Whether the peer sent bytes that are no message of the protocol, or more than are accepted.
[[nodiscard]] bool is_protocol_violation(wire_failure failure);

/// Reads the rest of the body. Fails with `too_large` and closes the connection once more has arrived than
/// `max_bytes`, which is chosen for what is expected.
[[nodiscard]] expected<std::string> read_bounded_body(upstream_connection& connection, std::size_t max_bytes,
                                                      base::boot_clock::time_point deadline,
                                                      yield_context yield);

/// The same for a body that is accounted for by `held` for as long as the caller keeps it.
[[nodiscard]] expected<std::string> read_held_body(upstream_connection& connection,
                                                   const collected_body& held, std::size_t max_bytes,
                                                   base::boot_clock::time_point deadline,
                                                   yield_context yield);

/// The same without keeping the body.
[[nodiscard]] expected<void> discard_bounded_body(upstream_connection& connection, std::size_t max_bytes,
                                                  base::boot_clock::time_point deadline, yield_context yield);

/// Limits of an exchange whose response is read completely.
struct fetch_limits {
    std::chrono::milliseconds timeout; ///< Of the whole exchange.
    std::size_t body_bytes;            ///< Of the response; chosen for what is expected.
};

/// Sends a request and reads the complete response. Fails with `too_large` if its body exceeds the limit.
[[nodiscard]] expected<http_response> fetch_bounded(connection_pool& pool, const std::string& address,
                                                    const http_request& request, const fetch_limits& limits,
                                                    yield_context yield,
                                                    connection_use use = connection_use::may_reuse);

} // namespace postpaddle::wire
