// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/carried_requests.h>
#include <wire/collected_data.h>
#include <wire/http_message.h>
#include <wire/wire_error.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::wire {

/// Limits on the size of responses.
struct response_bounds {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 64UL * 1024 * 1024;
    collected_data* collected = nullptr; ///< Where the bodies that are collected are accounted; may be null.
};

/// Accounts for a body while it is collected and kept; null where that is not accounted.
using collected_body = std::shared_ptr<collected_data::scoped_message>;

/// Called when the deadline of an exchange passes. Returns a later one to go on waiting, or nothing to end
/// the wait. Must not destroy the connection.
using deadline_extension = std::function<std::optional<base::boot_clock::time_point>()>;

/// Client side of an HTTP/1.1 connection, with at most one exchange at a time. Not thread-safe.
class upstream_connection {
public:
    upstream_connection(asio::io_context& context, const response_bounds& bounds);
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection(upstream_connection&&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;
    upstream_connection& operator=(upstream_connection&&) = delete;
    ~upstream_connection();

    /// Sets the address from which to connect, so that the server recognises the host by it. If that is not
    /// possible, the system chooses one.
    void set_local_address(const asio::ip::address& address);
    /// Connects. If this fails, nothing has been sent.
    [[nodiscard]] expected<void> connect(const asio::ip::tcp::endpoint& endpoint,
                                         base::boot_clock::time_point deadline, yield_context yield);
    /// Sends a request and reads the head of its response. `request_id` is the id that the server repeats in
    /// its answer; empty if the request has none.
    [[nodiscard]] expected<response_head> exchange(const http_request& request, std::string_view request_id,
                                                   base::boot_clock::time_point deadline,
                                                   yield_context yield);
    /// Reads the head of a further response, after one that belongs to another request.
    [[nodiscard]] expected<response_head> read_next_head(base::boot_clock::time_point deadline,
                                                         yield_context yield);
    /// Appends the next part of the body to `into`. Returns false at the end of a complete body.
    [[nodiscard]] expected<bool> read_part(std::string& into, base::boot_clock::time_point deadline,
                                           yield_context yield);
    /// Begins to account for the body that is read next. If it is given up, reads fail with `no_room`.
    [[nodiscard]] collected_body begin_collecting();
    /// Accounts for that many bytes of the body in all. Fails with `no_room` if it must be given up.
    [[nodiscard]] expected<void> collect(const collected_body& body, std::size_t bytes);
    [[nodiscard]] expected<std::string> read_remaining_body(base::boot_clock::time_point deadline,
                                                            yield_context yield);
    /// Reads the rest of the body without an overall deadline. Fails with `late` if no data arrives for
    /// `stall_timeout`. `on_part` is called after each part.
    [[nodiscard]] expected<std::string>
    read_remaining_body_unless_stalled(std::chrono::milliseconds stall_timeout,
                                       const std::function<void()>& on_part, yield_context yield);

    /// Sets what may extend the deadlines of the exchange, once the request has been sent; null ends that.
    void set_deadline_extension(deadline_extension extension);
    /// Closes the connection. An operation in progress fails with `cancelled`.
    void cancel();
    /// Whether the last exchange is complete and the connection can be used for another one.
    [[nodiscard]] bool is_reusable() const;
    /// How long the server keeps the idle connection open, as advertised in its last response.
    [[nodiscard]] std::chrono::milliseconds keep_alive_timeout() const;
    /// Whether an idle connection has been closed by the server or has unexpected input.
    [[nodiscard]] bool is_stale();
    /// Whether a request may have been sent, even partly, on this connection.
    [[nodiscard]] bool has_sent() const;
    /// The requests that may have been sent, even partly, on this connection.
    [[nodiscard]] const carried_requests& carried() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace postpaddle::wire
