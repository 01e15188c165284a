// SPDX-License-Identifier: BSD-2-Clause
#include <service/limit_controller.h>

namespace postpaddle::service {

namespace {

/// Organisations with less demand do not request a share.
constexpr double min_demand = 0.01;

} // namespace

std::optional<host::limit_refusal>
limit_controller::admit_request(const settings::organisation_policy& policy, int prompt_tokens,
                                base::time_point now) {
    const std::lock_guard lock(this->mutex);
    const double share = host::usable_share(this->held_shares[policy.id], this->working_hosts, now);
    return host::try_admit(this->usage, policy.id, policy.limits, share, prompt_tokens, now);
}

void limit_controller::release_request(const base::organisation_id& organisation) {
    const std::lock_guard lock(this->mutex);
    host::release(this->usage, organisation);
}

void limit_controller::set_working_hosts(std::size_t count) {
    const std::lock_guard lock(this->mutex);
    this->working_hosts = count;
}

void limit_controller::set_share(const base::organisation_id& organisation, double share,
                                 base::time_point now) {
    const std::lock_guard lock(this->mutex);
    this->held_shares[organisation] = {share, now, true};
}

std::vector<limit_controller::demand> limit_controller::demands(base::time_point now) {
    const std::lock_guard lock(this->mutex);
    std::vector<demand> found;
    for (const auto& [organisation, use] : this->usage.uses) {
        const double amount = host::demand_of(this->usage, organisation, now);
        if (amount >= min_demand)
            found.push_back({organisation, amount});
    }
    return found;
}

int limit_controller::in_progress() const {
    const std::lock_guard lock(this->mutex);
    int total = 0;
    for (const auto& [organisation, use] : this->usage.uses)
        total += use.concurrent;
    return total;
}

std::map<std::string, double> limit_controller::shares(base::time_point now) const {
    const std::lock_guard lock(this->mutex);
    std::map<std::string, double> found;
    for (const auto& [organisation, share] : this->held_shares)
        found[organisation.value] = host::usable_share(share, this->working_hosts, now);
    return found;
}

} // namespace postpaddle::service
