// SPDX-License-Identifier: BSD-2-Clause
#include <wire/bounded_response.h>

#include <base/try.h>

namespace postpaddle::wire {

namespace {

tl::unexpected<wire_error> fail_as_too_large(upstream_connection& connection) {
    connection.cancel();
    return tl::unexpected<wire_error>({wire_failure::too_large, "body exceeds the size limit"});
}

} // namespace

bool is_protocol_violation(wire_failure failure) {
    return failure == wire_failure::malformed || failure == wire_failure::too_large ||
           failure == wire_failure::head_too_large;
}

expected<std::string> read_held_body(upstream_connection& connection, const collected_body& held,
                                     std::size_t max_bytes, base::boot_clock::time_point deadline,
                                     yield_context yield) {
    std::string body;
    while (true) {
        POSTPADDLE_TRY(has_more, connection.read_part(body, deadline, yield));
        if (!has_more) {
            // From now on the connection may serve other requests.
            if (held)
                held->did_complete();
            return body;
        }
        if (body.size() > max_bytes)
            return fail_as_too_large(connection);
        POSTPADDLE_TRY_VOID(connection.collect(held, body.capacity()));
    }
}

expected<std::string> read_bounded_body(upstream_connection& connection, std::size_t max_bytes,
                                        base::boot_clock::time_point deadline, yield_context yield) {
    return read_held_body(connection, connection.begin_collecting(), max_bytes, deadline, yield);
}

expected<void> discard_bounded_body(upstream_connection& connection, std::size_t max_bytes,
                                    base::boot_clock::time_point deadline, yield_context yield) {
    std::size_t discarded_bytes = 0;
    std::string part;
    while (true) {
        part.clear();
        POSTPADDLE_TRY(has_more, connection.read_part(part, deadline, yield));
        if (!has_more)
            return {};
        discarded_bytes += part.size();
        if (discarded_bytes > max_bytes)
            return fail_as_too_large(connection);
    }
}

expected<http_response> fetch_bounded(connection_pool& pool, const std::string& address,
                                      const http_request& request, const fetch_limits& limits,
                                      yield_context yield, connection_use use) {
    const auto deadline = base::boot_clock::now() + limits.timeout;
    POSTPADDLE_TRY(open, open_exchange(
                             pool, address, request, use, {.deadline = deadline},
                             [](const std::shared_ptr<upstream_connection>& /*connection*/) {}, yield));
    POSTPADDLE_TRY(body, read_bounded_body(*open.call, limits.body_bytes, deadline, yield));
    pool.release(address, std::move(open.call));
    return http_response{open.head.status, std::move(open.head.headers), std::move(body)};
}

} // namespace postpaddle::wire
