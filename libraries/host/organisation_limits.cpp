// SPDX-License-Identifier: BSD-2-Clause
#include <host/organisation_limits.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace postpaddle::host {

namespace {

constexpr double demand_decay_seconds = 2;
constexpr base::duration concurrency_retry = std::chrono::milliseconds(1'000);

/// Burst size: one second's worth of the rate, but at least one request.
double capacity_of(double rate, double minimum) { return std::max(rate, minimum); }

/// Refills a bucket. A new bucket counts as empty at the start of the process: usage before a restart is
/// unknown, and a full bucket would admit an extra burst after each restart.
void fill(token_bucket& bucket, double rate, double capacity, base::time_point process_began,
          base::time_point now) {
    if (!std::exchange(bucket.is_started, true))
        bucket.filled_at = process_began;
    const double seconds = std::max(0.0, base::to_seconds(now - bucket.filled_at));
    bucket.level = std::min(capacity, bucket.level + rate * seconds);
    bucket.filled_at = now;
}

base::duration time_until(const token_bucket& bucket, double rate, double wanted) {
    static constexpr double max_wait_seconds = 60;
    const double seconds = rate > 0 ? (wanted - bucket.level) / rate : max_wait_seconds;
    return base::from_seconds(std::clamp(seconds, 0.0, max_wait_seconds));
}

void record_arrival(organisation_usage& use, base::time_point now) {
    const double seconds = base::to_seconds(now - use.arrivals_at);
    use.arrivals = use.arrivals * std::exp(-seconds / demand_decay_seconds) + 1;
    use.arrivals_at = now;
}

} // namespace

std::optional<limit_refusal> try_admit(organisation_limit_table& table, const base::organisation_id& id,
                                       const settings::limit_settings& limits, double share,
                                       int prompt_tokens, base::time_point now) {
    organisation_usage& use = table.uses[id];
    record_arrival(use, now);
    const double request_rate = limits.requests_per_second * share;
    const double token_rate = limits.prompt_tokens_per_second * share;
    fill(use.requests, request_rate, capacity_of(request_rate, 1), table.process_began, now);
    fill(use.prompt_tokens, token_rate, capacity_of(token_rate, prompt_tokens), table.process_began, now);
    // NOTE: A share below one slot still admits one request, so if the limit is smaller than the number of
    // hosts, it may be exceeded by up to one request per host.
    const int places = std::max(1, static_cast<int>(limits.concurrent_requests * share));
    if (limits.concurrent_requests == 0 || use.concurrent >= places)
        return limit_refusal{limit_kind::concurrency, concurrency_retry};
    if (use.requests.level < 1)
        return limit_refusal{limit_kind::requests, time_until(use.requests, request_rate, 1)};
    if (use.prompt_tokens.level < prompt_tokens)
        return limit_refusal{limit_kind::prompt_tokens,
                             time_until(use.prompt_tokens, token_rate, prompt_tokens)};
    use.requests.level -= 1;
    use.prompt_tokens.level -= prompt_tokens;
    ++use.concurrent;
    return std::nullopt;
}

void release(organisation_limit_table& table, const base::organisation_id& id) {
    organisation_usage& use = table.uses[id];
    use.concurrent = std::max(0, use.concurrent - 1);
}

double demand_of(organisation_limit_table& table, const base::organisation_id& id, base::time_point now) {
    const auto found = table.uses.find(id);
    if (found == table.uses.end())
        return 0;
    const organisation_usage& use = found->second;
    const double seconds = base::to_seconds(now - use.arrivals_at);
    return use.arrivals * std::exp(-seconds / demand_decay_seconds) + use.concurrent;
}

} // namespace postpaddle::host
