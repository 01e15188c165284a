// SPDX-License-Identifier: BSD-2-Clause
#include <service/upstream_board.h>

#include <algorithm>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr int tolerated_failures = 2;
constexpr base::duration pause_each = 500ms;
constexpr base::duration longest_pause = 10'000ms;

} // namespace

void upstream_board::set_leaving(const base::upstream_id& upstream, bool is_leaving) {
    const std::lock_guard lock(this->mutex);
    this->entries[upstream].is_leaving = is_leaving;
}

bool upstream_board::is_leaving(const base::upstream_id& upstream) const {
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(upstream);
    return found != this->entries.end() && found->second.is_leaving;
}

std::optional<base::upstream_id> upstream_board::choose(const std::vector<base::upstream_id>& among,
                                                        const std::set<base::upstream_id>& tried,
                                                        base::time_point now) {
    const std::lock_guard lock(this->mutex);
    for (std::size_t step = 0; step < among.size(); ++step) {
        const base::upstream_id& candidate = among[this->turn++ % among.size()];
        const entry& known = this->entries[candidate];
        if (!known.is_leaving && now >= known.aside_until && !tried.contains(candidate))
            return candidate;
    }
    return std::nullopt;
}

void upstream_board::note_result(const base::upstream_id& upstream, bool was_good, base::time_point now) {
    const std::lock_guard lock(this->mutex);
    entry& known = this->entries[upstream];
    if (was_good) {
        known.failures = 0;
        known.aside_until = {};
        return;
    }
    ++known.failures;
    if (known.failures > tolerated_failures)
        known.aside_until = now + std::min(longest_pause, pause_each * known.failures);
}

std::vector<base::upstream_id> upstream_board::leaving() const {
    const std::lock_guard lock(this->mutex);
    std::vector<base::upstream_id> found;
    for (const auto& [id, known] : this->entries)
        if (known.is_leaving)
            found.push_back(id);
    return found;
}

} // namespace postpaddle::service
