// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <host/peer_directory.h>

#include <cstddef>
#include <string>
#include <vector>

namespace postpaddle::test {

/// Hosts named `host-0`, `host-1` and so on.
inline std::vector<base::host_id> make_hosts(int number) {
    std::vector<base::host_id> hosts(static_cast<std::size_t>(number));
    for (std::size_t host = 0; host < hosts.size(); ++host)
        hosts[host].value = "host-" + std::to_string(host);
    return hosts;
}

/// A directory of hosts that were heard of at that time, in zones in turn.
inline host::peer_directory make_directory(const std::vector<base::host_id>& hosts, int zones,
                                           base::time_point heard_at) {
    host::peer_directory directory;
    for (std::size_t number = 0; number < hosts.size(); ++number) {
        const base::zone_id zone{"zone-" + std::to_string(number % static_cast<std::size_t>(zones))};
        host::record_contact(directory, hosts[number], hosts[number].value + ":1", zone, heard_at);
    }
    return directory;
}

} // namespace postpaddle::test
