// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/zone_evacuations.h>

#include <host/peer_directory.h>
#include <host/peer_load_table.h>
#include <host/quarantine.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::gateway {

/// A heartbeat: the state of a host and what it knows of some others.
struct heartbeat {
    base::host_id host;
    std::string address; ///< Heartbeat address (IP address and port).
    base::zone_id availability_zone;
    std::uint64_t settings_version = 0;
    bool is_leaving = false;
    std::uint64_t splits_end = 0; ///< Up to which the host has read the services' splits; 0: not known.
    std::map<base::host_id, host::peer> others{}; ///< Time of the last message is encoded as an age.
    std::vector<host::suspect_report>
        suspects{}; ///< Requests suspected of crashing upstreams; usually empty.
    decision::zone_record_page zones{.is_complete = true}; ///< Known evacuations of availability zones.
    std::vector<host::advertised_state> advertisements{};  ///< State advertised by upstreams; usually empty.

    bool operator==(const heartbeat&) const = default;
};

[[nodiscard]] nlohmann::json encode_heartbeat(const heartbeat& message, base::time_point now);
/// Returns nothing if the message is malformed.
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(std::string_view text, base::time_point now);

/// Path under which a host serves the load of its cell's engines.
inline constexpr const char* cell_loads_path = "/peers/loads";

[[nodiscard]] std::string encode_cell_loads(const std::vector<host::reported_load>& loads);
/// Returns nothing if the message is malformed.
[[nodiscard]] std::optional<std::vector<host::reported_load>> decode_cell_loads(std::string_view bytes);

/// Encodes a load report as MessagePack.
[[nodiscard]] std::string encode_load(const host::load_report& report);

/// Returns nothing if the message is malformed.
[[nodiscard]] std::optional<host::load_report> decode_load(std::string_view bytes);

} // namespace postpaddle::gateway
