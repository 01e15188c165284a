// SPDX-License-Identifier: BSD-2-Clause
#include <wire/simple_client.h>

#include <wire/endpoint.h>

#include <base/try.h>

#include <algorithm>

namespace postpaddle::wire {

expected<open_answer> open_exchange(upstream_pool& pool, const std::string& address,
                                    const http_request& request, connection_use use,
                                    const exchange_limits& limits,
                                    const std::function<void(std::shared_ptr<upstream_call>)>& on_call,
                                    yield_context yield) {
    POSTPADDLE_TRY(endpoint, parse_endpoint(address));
    upstream_pool::lease lease = pool.take(address, use);
    const bool was_reused = lease.is_connected;
    on_call(lease.call);
    if (!lease.is_connected) {
        const auto limit = std::min(limits.deadline, std::chrono::steady_clock::now() + limits.connect);
        POSTPADDLE_TRY_VOID(lease.call->connect(endpoint, limit, yield));
    }
    auto head = lease.call->exchange(request, limits.deadline, yield);
    if (head)
        return open_answer{std::move(*head), std::move(lease.call)};
    const wire_failure failure = head.error().failure;
    // What may run at most once is not sent again, however likely it is that nobody read it.
    const bool is_stale = was_reused && use == connection_use::may_reuse &&
                          limits.stale == stale_connection::send_again &&
                          (failure == wire_failure::closed || failure == wire_failure::broken);
    if (!is_stale)
        return tl::make_unexpected(std::move(head).error());
    auto again = open_exchange(pool, address, request, connection_use::only_fresh, limits, on_call, yield);
    // The first connection took the request's bytes: that the second could not be had does not unsay that.
    if (!again && is_before_send(again.error().failure))
        return tl::make_unexpected(wire_error{wire_failure::broken, again.error().detail});
    return again;
}

expected<http_response> fetch(upstream_pool& pool, const std::string& address, const http_request& request,
                              std::chrono::milliseconds limit, yield_context yield, connection_use use) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    POSTPADDLE_TRY(answer, open_exchange(
                               pool, address, request, use, {.deadline = deadline},
                               [](const std::shared_ptr<upstream_call>& /*call*/) {}, yield));
    POSTPADDLE_TRY(body, answer.call->read_rest(deadline, yield));
    pool.give_back(address, answer.call);
    return http_response{answer.head.status, std::move(answer.head.headers), std::move(body)};
}

http_request get_request(std::string target, http_headers headers) {
    return {"GET", std::move(target), std::move(headers), ""};
}

http_request json_request(std::string target, std::string body, http_headers headers) {
    headers.push_back({"Content-Type", "application/json"});
    return {"POST", std::move(target), std::move(headers), std::move(body)};
}

} // namespace postpaddle::wire
