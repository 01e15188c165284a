// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/upstreams/upstream_call.h>

#include <base/try.h>

namespace postpaddle::gateway {

wire::expected<wire::http_response> call_upstream(gateway_state& state, const std::string& address,
                                                  const wire::http_request& call,
                                                  const wire::fetch_limits& limits, wire::yield_context yield,
                                                  wire::connection_use use) {
    const auto deadline = base::boot_clock::now() + limits.timeout;
    POSTPADDLE_TRY(open, wire::open_exchange(
                             *state.pool, address, call, use, {.deadline = deadline},
                             [](const std::shared_ptr<wire::upstream_connection>& /*connection*/) {}, yield));
    if (!state.protocol.read_answer(open.head).request_id.empty()) {
        state.metrics->count("foreign_answers_total");
        open.call->cancel();
        return tl::make_unexpected(
            wire::wire_error{wire::wire_failure::malformed, "answer to a request in place of a call's"});
    }
    POSTPADDLE_TRY(body, wire::read_bounded_body(*open.call, limits.body_bytes, deadline, yield));
    state.pool->release(address, open.call);
    return wire::http_response{open.head.status, std::move(open.head.headers), std::move(body)};
}

} // namespace postpaddle::gateway
