// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <wire/asio.h>
#include <wire/collected_data.h>
#include <wire/connection_end.h>
#include <wire/connection_places.h>
#include <wire/http_message.h>
#include <wire/read_turns.h>
#include <wire/wire_error.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace postpaddle::wire {

/// Limits on the size of requests, on unsent response data and on time.
struct connection_bounds {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds request_timeout{10'000}; ///< For the whole request, from its first byte.
    std::chrono::milliseconds idle_timeout{60'000};
    std::size_t unsent_bytes = 256UL * 1024;
    /// A body of up to this size always finds room if no other does: the account keeps a reserve for it. With
    /// 0 the reserve stays as it is.
    std::size_t reserved_body_bytes = 0;
    std::chrono::milliseconds write_timeout{10'000};
};

/// Returns the limits in force at the time of the call.
using bounds_source = std::function<connection_bounds()>;

/// Limits that never change.
[[nodiscard]] bounds_source fixed_bounds(const connection_bounds& bounds);

/// What connections of a process share while their requests arrive. Without it nothing is bounded but each
/// request for itself.
struct connection_intake {
    std::shared_ptr<collected_data> account; ///< Of all that is held for requests.
    std::shared_ptr<read_turns> turns;
};

/// Response data that has not been written to the socket yet.
struct unsent_data {
    std::size_t bytes = 0;
    base::time_point since{}; ///< When the oldest of these bytes was added; meaningless if there are none.
};

/// Server side of an HTTP/1.1 connection. Not thread-safe.
///
/// Responses are written asynchronously from a bounded buffer. A caller that lets the buffer overflow, or
/// that reads nothing until the write timeout, is treated as disconnected.
class caller_connection {
public:
    /// Asks for the limits each time that it applies them, so that changed ones apply to open connections.
    caller_connection(asio::ip::tcp::socket socket, bounds_source bounds, connection_intake intake = {});
    caller_connection(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection();

    /// IP address of the caller; empty if the connection has ended.
    [[nodiscard]] std::string remote_address() const;
    /// The same, also after the connection has ended.
    [[nodiscard]] const std::string& source() const;

    /// Reads a complete request. Fails with `closed` if the connection ends between two requests, as is
    /// normal. What has arrived is read even if its time is over, as this process may have been held up.
    [[nodiscard]] expected<http_request> read_request(yield_context yield);

    /// Calls back once if the caller disconnects, or is treated as disconnected, while its request is in
    /// progress.
    void watch_for_disconnect(std::function<void()> on_disconnect);
    /// Guarantees that the callback is not called any more.
    void stop_watching();
    /// Whether the caller has disconnected or the connection was aborted.
    [[nodiscard]] bool is_closed() const;

    [[nodiscard]] unsent_data unsent() const;
    /// Calls back after each change of the amount of unsent data; null ends that. The callback may disconnect
    /// this or another connection, but not destroy it.
    void watch_unsent(std::function<void()> on_change);
    /// Closes the connection and treats the caller as disconnected. Drops unsent data.
    void disconnect(connection_end cause = connection_end::host_unsent_bound);

    /// Why the connection ended, or is about to end now that its last response is written.
    [[nodiscard]] connection_end end() const;
    /// Progress of the response to the last request that was read.
    [[nodiscard]] response_progress progress() const;
    /// Whether part of a request has been read.
    [[nodiscard]] bool has_partial_request() const;
    /// What decides whether the connection gives way to a new one; without the number of its source's places.
    [[nodiscard]] place_holder place() const;
    /// Whether bytes have arrived that were not read yet.
    [[nodiscard]] bool has_unread_input() const;

    /// Sends a complete response and waits until it is written.
    [[nodiscard]] expected<void> send(const http_response& response, yield_context yield);
    /// Starts a response with a chunked body.
    void begin_stream(const response_head& head);
    /// Appends a chunk to the body. Returns false if the caller has disconnected.
    [[nodiscard]] bool append(std::string_view part);
    /// Ends the chunked body and waits until it is written.
    [[nodiscard]] expected<void> end_stream(yield_context yield);
    /// Sends a complete response and closes. Keeps reading for a short time first, as closing with unread
    /// input would reset the connection and could discard the response.
    void send_and_close(const http_response& response, yield_context yield);
    /// Closes the connection as soon as no request is in progress and none has arrived.
    void close_when_idle();
    /// Closes the connection without ending the body, so that the caller can tell that it is truncated.
    void abort(connection_end cause = connection_end::broken_answer);

    /// Whether another request may follow on this connection.
    [[nodiscard]] bool is_keep_alive() const;
    /// Sends `Connection: close` with the next response.
    void close_after_response();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace postpaddle::wire
