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

/// Tracks which upstreams are leaving or ejected, and selects plain upstreams for new requests. Thread-safe.
class upstream_registry {
public:
    void set_leaving(const base::upstream_id& upstream, bool is_leaving);
    [[nodiscard]] bool is_leaving(const base::upstream_id& upstream) const;
    /// Selects the next available upstream of `candidates` that is not in `tried`, round robin. Returns
    /// nothing if none is left.
    [[nodiscard]] std::optional<base::upstream_id> choose(const std::vector<base::upstream_id>& candidates,
                                                          const std::set<base::upstream_id>& tried,
                                                          base::time_point now);
    /// Records the result of an exchange. Repeated failures eject the upstream for a limited time.
    void record_result(const base::upstream_id& upstream, bool is_success, base::time_point now);
    [[nodiscard]] std::vector<base::upstream_id> leaving() const;

private:
    struct entry {
        bool is_leaving = false;
        int failures = 0;
        base::time_point ejected_until{};
    };

    mutable std::mutex mutex;
    std::map<base::upstream_id, entry> entries;
    std::size_t next_index = 0;
};

} // namespace postpaddle::service
