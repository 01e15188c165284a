// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/competing_hosts.h>

#include <algorithm>

namespace postpaddle::decision {

void record_competing_host(competing_hosts& known, const base::host_id& host, base::time_point until) {
    known.until[host] = until;
    known.next_end = std::min(known.next_end, until);
}

void remove_competing_host(competing_hosts& known, const base::host_id& host) { known.until.erase(host); }

int count_competing_hosts(competing_hosts& known, base::time_point now) {
    if (now >= known.next_end) {
        std::erase_if(known.until, [now](const auto& entry) { return entry.second <= now; });
        known.next_end = base::time_point::max();
        for (const auto& [host, until] : known.until)
            known.next_end = std::min(known.next_end, until);
    }
    return static_cast<int>(known.until.size());
}

} // namespace postpaddle::decision
