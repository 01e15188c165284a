// SPDX-License-Identifier: BSD-2-Clause
#include <wire/http_client.h>

#include <wire/endpoint.h>

#include <base/try.h>

#include <algorithm>
#include <array>

namespace postpaddle::wire {

using namespace std::chrono_literals;

expected<open_response>
open_exchange(connection_pool& pool, const std::string& address, const http_request& request,
              connection_use use, const exchange_limits& limits,
              const std::function<void(std::shared_ptr<upstream_connection>)>& on_connection,
              yield_context yield) {
    if (!is_sendable(request))
        return tl::make_unexpected(wire_error{wire_failure::unsendable, "no request in the protocol"});
    POSTPADDLE_TRY(endpoint, parse_endpoint(address));
    connection_pool::acquired_connection acquired = pool.acquire(address, use, limits.request_id);
    const bool was_reused = acquired.is_connected;
    on_connection(acquired.connection);
    if (!acquired.is_connected) {
        const auto connect_deadline =
            std::min(limits.deadline, base::boot_clock::now() + limits.connect_timeout);
        POSTPADDLE_TRY_VOID(acquired.connection->connect(endpoint, connect_deadline, yield));
        if (limits.on_connected)
            limits.on_connected();
    }
    if (limits.may_send && !limits.may_send())
        return tl::make_unexpected(wire_error{wire_failure::withheld, "must not be sent any more"});
    auto head = acquired.connection->exchange(request, limits.request_id, limits.deadline, yield);
    if (head)
        return open_response{std::move(*head), std::move(acquired.connection)};
    const wire_failure failure = head.error().failure;
    // Requests that must not run twice are never resent, even if the server most likely didn't read them.
    const bool is_stale = was_reused && use == connection_use::may_reuse &&
                          limits.on_stale == stale_connection_policy::retry &&
                          (failure == wire_failure::closed || failure == wire_failure::broken);
    if (!is_stale)
        return tl::make_unexpected(std::move(head).error());
    auto retried =
        open_exchange(pool, address, request, connection_use::only_new, limits, on_connection, yield);
    // The first connection may have delivered the request, so a failure to connect again must not be reported
    // as one before the send.
    if (!retried && is_before_send(retried.error().failure))
        return tl::make_unexpected(wire_error{wire_failure::broken, retried.error().detail});
    return retried;
}

namespace {

/// Opens an exchange that nobody else can cancel.
expected<open_response> start_fetch(connection_pool& pool, const std::string& address,
                                    const http_request& request, connection_use use,
                                    base::boot_clock::time_point deadline, yield_context yield) {
    return open_exchange(
        pool, address, request, use, {.deadline = deadline},
        [](const std::shared_ptr<upstream_connection>& /*connection*/) {}, yield);
}

http_response finish_fetch(connection_pool& pool, const std::string& address, open_response open,
                           std::string body) {
    pool.release(address, std::move(open.call));
    return {open.head.status, std::move(open.head.headers), std::move(body)};
}

} // namespace

expected<http_response> fetch(connection_pool& pool, const std::string& address, const http_request& request,
                              std::chrono::milliseconds timeout, yield_context yield, connection_use use) {
    const auto deadline = base::boot_clock::now() + timeout;
    POSTPADDLE_TRY(open, start_fetch(pool, address, request, use, deadline, yield));
    POSTPADDLE_TRY(body, open.call->read_remaining_body(deadline, yield));
    return finish_fetch(pool, address, std::move(open), std::move(body));
}

expected<http_response> fetch_large(connection_pool& pool, const std::string& address,
                                    const http_request& request, const transfer_timeouts& limits,
                                    yield_context yield) {
    const auto deadline = base::boot_clock::now() + limits.head_timeout;
    POSTPADDLE_TRY(open, start_fetch(pool, address, request, connection_use::may_reuse, deadline, yield));
    limits.on_part();
    POSTPADDLE_TRY(
        body, open.call->read_remaining_body_unless_stalled(limits.stall_timeout, limits.on_part, yield));
    return finish_fetch(pool, address, std::move(open), std::move(body));
}

port_state probe_port(connection_pool& pool, const std::string& address, std::chrono::milliseconds timeout,
                      yield_context yield) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        return port_state::unknown;
    const connection_pool::acquired_connection acquired = pool.acquire(address, connection_use::only_new);
    const auto connected = acquired.connection->connect(*endpoint, base::boot_clock::now() + timeout, yield);
    if (connected)
        return port_state::listening;
    return connected.error().failure == wire_failure::not_listening ? port_state::not_listening
                                                                    : port_state::unknown;
}

bool is_port_closed_later(asio::io_context& context, connection_pool& pool, const std::string& address,
                          yield_context yield) {
    static constexpr std::array pauses = {50ms, 150ms};
    boot_timer timer(context);
    for (const auto pause : pauses) {
        timer.expires_after(pause);
        error_code ignored;
        timer.async_wait(yield[ignored]);
        const port_state port = probe_port(pool, address, port_probe_timeout, yield);
        if (port != port_state::listening)
            return port == port_state::not_listening;
    }
    return false;
}

http_request get_request(std::string target, http_headers headers) {
    return {"GET", std::move(target), std::move(headers), ""};
}

http_request json_request(std::string target, std::string body, http_headers headers) {
    headers.push_back({"Content-Type", "application/json"});
    return {"POST", std::move(target), std::move(headers), std::move(body)};
}

} // namespace postpaddle::wire
