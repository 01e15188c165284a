// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/connection_pool.h>
#include <wire/http_message.h>
#include <wire/wire_error.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace postpaddle::wire {

/// Response whose head has been read. The body is still to be read from the connection.
struct open_response {
    response_head head;
    std::shared_ptr<upstream_connection> call;
};

/// What to do if a reused connection breaks before the response.
enum class stale_connection_policy {
    retry, ///< Retry once on a new connection, as the server most likely closed the idle one.
    fail, ///< Report the failure, as the server may have received the request and each send is accounted for.
};

/// Time limits of an exchange, and what it may be sent over.
struct exchange_limits {
    base::boot_clock::time_point deadline;
    std::chrono::milliseconds connect_timeout{1'000};
    stale_connection_policy on_stale = stale_connection_policy::retry;
    std::function<void()> on_connected{}; ///< Called when a new connection has been opened.
    /// The last look before the request is written; if false, nothing is sent and the exchange fails with
    /// `withheld`.
    std::function<bool()> may_send{};
    /// Id that the server repeats in its answer. No connection carries a request with the same id again.
    /// Empty: the request has none.
    std::string request_id{};
};

/// Sends a request and reads the head of its response.
///
/// `on_connection` is called with each connection before it is used, so that the request can be cancelled.
/// A stale connection is replaced by a new one once if the limits and `use` allow it.
[[nodiscard]] expected<open_response>
open_exchange(connection_pool& pool, const std::string& address, const http_request& request,
              connection_use use, const exchange_limits& limits,
              const std::function<void(std::shared_ptr<upstream_connection>)>& on_connection,
              yield_context yield);

/// Sends a request and reads the complete response. `timeout` applies to the whole exchange.
[[nodiscard]] expected<http_response> fetch(connection_pool& pool, const std::string& address,
                                            const http_request& request, std::chrono::milliseconds timeout,
                                            yield_context yield,
                                            connection_use use = connection_use::may_reuse);

/// Timeouts for a response that may be large.
///
/// There is no timeout for the whole transfer: over a slow link a large response would exceed it, and so
/// would every retry. Link speeds of hosts differ by a factor of a hundred: settings of 700 KB over 10 Mbit/s
/// were never read completely within the 0.4 s that small responses get. Only a transfer that stalls is
/// abandoned.
struct transfer_timeouts {
    std::chrono::milliseconds head_timeout{};  ///< Until the response's head is received.
    std::chrono::milliseconds stall_timeout{}; ///< Between two parts of the body.
    std::function<void()> on_part = [] {};     ///< Called after the head and each part of the body.
};

/// Sends a request and reads the complete response, which may take long.
[[nodiscard]] expected<http_response> fetch_large(connection_pool& pool, const std::string& address,
                                                  const http_request& request,
                                                  const transfer_timeouts& limits, yield_context yield);

/// Result of connecting to an address to see whether a process listens there.
enum class port_state {
    listening,
    not_listening, ///< Connection refused: the process has exited or has not started yet.
    unknown,       ///< No response in time: the machine or the network may be down.
};

/// The kernel refuses connections to an exited process's port at once. Anything slower says something about
/// the network, not about the process.
inline constexpr std::chrono::milliseconds port_probe_timeout{120};

/// Connects to an address and closes the connection without sending anything.
[[nodiscard]] port_state probe_port(connection_pool& pool, const std::string& address,
                                    std::chrono::milliseconds timeout, yield_context yield);

/// Probes a port that was still open right after a connection to it broke, for up to 200 ms. Returns whether
/// it is closed.
///
/// A process that exits closes its connections before its listening socket; on a loaded machine, up to 120 ms
/// were measured in between.
[[nodiscard]] bool is_port_closed_later(asio::io_context& context, connection_pool& pool,
                                        const std::string& address, yield_context yield);

/// Creates a GET request without a body.
[[nodiscard]] http_request get_request(std::string target, http_headers headers = {});
/// Creates a POST request with a JSON body.
[[nodiscard]] http_request json_request(std::string target, std::string body, http_headers headers = {});

} // namespace postpaddle::wire
