// SPDX-License-Identifier: BSD-2-Clause
#include <host/sender_rate_limiter.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

/// Evicts idle senders if the table is full; their buckets have refilled, so no state is lost. Returns
/// whether there is room for another sender.
bool has_room(sender_rate_limiter& limiter, const sender_rate_limiter_options& options,
              base::time_point now) {
    if (limiter.senders.size() < options.max_senders)
        return true;
    const base::duration refill = base::from_seconds(options.burst / options.datagrams_per_second);
    std::erase_if(limiter.senders, [&](const auto& item) {
        return now - item.second.last_seen >= refill && now >= item.second.ignored_until;
    });
    return limiter.senders.size() < options.max_senders;
}

} // namespace

sender_verdict check_sender(sender_rate_limiter& limiter, const sender_rate_limiter_options& options,
                            std::uint64_t key, base::time_point now) {
    auto found = limiter.senders.find(key);
    if (found == limiter.senders.end()) {
        if (!has_room(limiter, options, now))
            return sender_verdict::drop;
        found = limiter.senders
                    .emplace(key, sender_rate_limiter::sender{.tokens = options.burst, .last_seen = now})
                    .first;
    }
    sender_rate_limiter::sender& sender = found->second;
    if (now < sender.ignored_until)
        return sender_verdict::drop;
    const double added = base::to_seconds(now - sender.last_seen) * options.datagrams_per_second;
    sender.tokens = std::min(options.burst, sender.tokens + std::max(0.0, added));
    sender.last_seen = now;
    if (sender.tokens < 1) {
        sender.ignored_until = now + options.drop_period;
        return sender_verdict::start_dropping;
    }
    sender.tokens -= 1;
    return sender_verdict::accept;
}

} // namespace postpaddle::host
