// SPDX-License-Identifier: BSD-2-Clause
#include <service/claim_client.h>

namespace postpaddle::service {

namespace {

/// Shared by the waiting coroutine and the callback that delivers the verdict to it.
struct pending_answer {
    explicit pending_answer(wire::asio::io_context& context) : wake(context) {}

    wire::boot_timer wake;
    host::claim_resolution answer;
    bool has_answer = false;
};

} // namespace

host::claim_resolution claim_client::try_claim(const host::claim& claim, std::int64_t key_milliseconds,
                                               std::chrono::milliseconds timeout,
                                               wire::asio::io_context& context, wire::yield_context yield) {
    auto pending = std::make_shared<pending_answer>(context);
    pending->wake.expires_after(timeout);
    claim_query query;
    query.claim = claim;
    query.key_milliseconds = key_milliseconds;
    query.answer = [pending, &context](const host::claim_resolution& answer) {
        wire::asio::post(context, [pending, answer] {
            pending->answer = answer;
            pending->has_answer = true;
            pending->wake.cancel();
        });
    };
    if (!this->query_ring.try_push(std::move(query)))
        return {};
    wire::error_code ignored;
    pending->wake.async_wait(yield[ignored]);
    // A verdict that arrives after the timeout is ignored; the request is rejected without having run.
    return pending->has_answer ? pending->answer : host::claim_resolution{};
}

void claim_client::report_outcome(const host::claim_end& end) { (void)this->end_ring.try_push(end); }

} // namespace postpaddle::service
