// SPDX-License-Identifier: BSD-2-Clause
#include <decision/reachability.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Age at which a failed attempt no longer counts together with a new one. On a host with little traffic many
/// seconds pass between two connections, and upstreams crash one after the other.
constexpr base::duration attempt_lifetime = std::chrono::seconds(5);

} // namespace

bool record_unconnected(service_reachability& reach, const connection_attempt& attempt,
                        base::time_point now) {
    // Another connection has succeeded while this one was being opened.
    if (reach.last_connected != base::time_point{} && attempt.started <= reach.last_connected)
        return false;
    if (!is_unreachable(reach))
        std::erase_if(reach.unreached,
                      [now](const auto& item) { return now - item.second >= attempt_lifetime; });
    reach.unreached[attempt.instance] = now;
    const std::size_t needed = std::clamp<std::size_t>(attempt.instances, 1, min_unreached_instances);
    if (is_unreachable(reach)) {
        ++reach.failures_since;
        return false;
    }
    if (reach.unreached.size() < needed)
        return false;
    reach.unreachable_since = now;
    return true;
}

suspicion record_connected(service_reachability& reach, base::time_point started) {
    suspicion ended = suspicion::none;
    if (is_unreachable(reach))
        ended = reach.failures_since > 0 ? suspicion::confirmed : suspicion::unconfirmed;
    reach.last_connected = std::max(reach.last_connected, started);
    reach.unreached.clear();
    reach.unreachable_since.reset();
    reach.failures_since = 0;
    return ended;
}

bool is_unreachable(const service_reachability& reach) { return reach.unreachable_since.has_value(); }

bool is_credible(const service_reachability& reach, base::time_point failed_at) {
    return reach.last_connected != base::time_point{} && reach.last_connected >= failed_at;
}

} // namespace postpaddle::decision
