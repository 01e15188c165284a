// SPDX-License-Identifier: BSD-2-Clause
#include <service/upstream_registry.h>

#include <algorithm>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr int tolerated_failures = 2;
constexpr base::duration ejection_time_per_failure = 500ms;
constexpr base::duration max_ejection_time = 10'000ms;

} // namespace

void upstream_registry::set_leaving(const base::upstream_id& upstream, bool is_leaving) {
    const std::lock_guard lock(this->mutex);
    this->entries[upstream].is_leaving = is_leaving;
}

bool upstream_registry::is_leaving(const base::upstream_id& upstream) const {
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(upstream);
    return found != this->entries.end() && found->second.is_leaving;
}

std::optional<base::upstream_id> upstream_registry::choose(const std::vector<base::upstream_id>& candidates,
                                                           const std::set<base::upstream_id>& tried,
                                                           base::time_point now) {
    const std::lock_guard lock(this->mutex);
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const base::upstream_id& candidate = candidates[this->next_index++ % candidates.size()];
        const entry& known = this->entries[candidate];
        if (!known.is_leaving && now >= known.ejected_until && !tried.contains(candidate))
            return candidate;
    }
    return std::nullopt;
}

void upstream_registry::record_result(const base::upstream_id& upstream, bool is_success,
                                      base::time_point now) {
    const std::lock_guard lock(this->mutex);
    entry& known = this->entries[upstream];
    if (is_success) {
        known.failures = 0;
        known.ejected_until = {};
        return;
    }
    ++known.failures;
    if (known.failures > tolerated_failures)
        known.ejected_until = now + std::min(max_ejection_time, ejection_time_per_failure * known.failures);
}

std::vector<base::upstream_id> upstream_registry::leaving() const {
    const std::lock_guard lock(this->mutex);
    std::vector<base::upstream_id> found;
    for (const auto& [id, known] : this->entries)
        if (known.is_leaving)
            found.push_back(id);
    return found;
}

} // namespace postpaddle::service
