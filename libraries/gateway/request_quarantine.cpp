// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/request_quarantine.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// A process that has ended has its port turned away by the system at once. An answer that takes longer tells
/// of the link, not of the process.
constexpr auto look_limit = 120ms;

/// The caller: its organisation, or its key where organisations are not told apart.
const std::string& caller_of(const gateway_request& request) {
    return request.organisation != nullptr ? request.organisation->id.value : request.routed.key_hash;
}

} // namespace

void name_request(gateway_request& request) {
    const ports::routed_request& routed = request.routed;
    request.fingerprint = host::fingerprint_of({.caller = caller_of(request),
                                                .host = routed.host,
                                                .method = routed.message.method,
                                                .target = routed.message.target,
                                                .body = routed.message.body});
}

void look_after_break(gateway_request& request, const ports::upstream_send& send,
                      const exchange_result& exchange, wire::yield_context yield) {
    const bool may_have_ended = exchange.result == decision::send_result::broken;
    if (!may_have_ended || request.cancellation->is_caller_gone)
        return;
    gateway_state& state = *request.state;
    if (wire::look_at_port(*state.pool, exchange.address, look_limit, yield) !=
        wire::port_state::not_listening)
        return;
    state.figures->count("upstreams_ended_total");
    request.sends.back()["has_ended"] = true;
    state.log->write("upstream_ended", {{"instance", send.instance.value},
                                        {"request", request.routed.id},
                                        {"fingerprint", host::to_text(request.fingerprint)}});
}

} // namespace postpaddle::gateway
