// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace postpaddle::service {

/// Which plain upstreams may get new work; shared by the workers and the control thread.
class upstream_board {
public:
    /// Sets whether an upstream is leaving.
    void set_leaving(const base::upstream_id& upstream, bool is_leaving);
    [[nodiscard]] bool is_leaving(const base::upstream_id& upstream) const;
    /// The next of these that may be used and was not tried yet, in turn; empty where none is left.
    [[nodiscard]] std::optional<base::upstream_id> choose(const std::vector<base::upstream_id>& among,
                                                          const std::set<base::upstream_id>& tried,
                                                          base::time_point now);
    /// Notes how an exchange with an upstream went; failures put it aside for a while.
    void note_result(const base::upstream_id& upstream, bool was_good, base::time_point now);
    /// Upstreams that are leaving, for the state dump.
    [[nodiscard]] std::vector<base::upstream_id> leaving() const;

private:
    struct entry {
        bool is_leaving = false;
        int failures = 0;
        base::time_point aside_until{};
    };

    mutable std::mutex mutex;
    std::map<base::upstream_id, entry> entries;
    std::size_t turn = 0;
};

} // namespace postpaddle::service
