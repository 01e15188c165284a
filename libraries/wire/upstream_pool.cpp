// SPDX-License-Identifier: BSD-2-Clause
#include <wire/upstream_pool.h>

namespace postpaddle::wire {

namespace {

constexpr std::size_t most_idle_each = 64;

} // namespace

upstream_pool::upstream_pool(asio::io_context& context, const answer_bounds& bounds)
    : context(&context), bounds(bounds) {}

upstream_pool::lease upstream_pool::take(const std::string& address, connection_use use) {
    auto& waiting = this->idle[address];
    while (use == connection_use::may_reuse && !waiting.empty()) {
        lease taken{std::move(waiting.back()), true};
        waiting.pop_back();
        if (!taken.call->has_surplus())
            return taken;
    }
    return {std::make_shared<upstream_call>(*this->context, this->bounds), false};
}

void upstream_pool::give_back(const std::string& address, std::shared_ptr<upstream_call> call) {
    auto& waiting = this->idle[address];
    if (call->is_reusable() && waiting.size() < most_idle_each)
        waiting.push_back(std::move(call));
    else
        call->cancel();
}

std::size_t upstream_pool::idle_connections() const {
    std::size_t total = 0;
    for (const auto& [address, waiting] : this->idle)
        total += waiting.size();
    return total;
}

} // namespace postpaddle::wire
