// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/routing_settings.h>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// Routes of one settings version, ready to be looked up. Refers to the settings it was made of.
struct route_table {
    /// By host name; of each host the longest prefix first.
    std::unordered_map<std::string, std::vector<const settings::route_settings_entry*>> by_host;
};

/// Builds the table; the settings must outlive it.
[[nodiscard]] route_table make_route_table(const settings::routing_settings& settings);

/// Name of a `Host` field without its port, in lower case.
[[nodiscard]] std::string host_name_of(std::string_view host_field);

/// Path of a request target, without its query.
[[nodiscard]] std::string_view path_of_target(std::string_view target);

/// The route with the longest prefix that begins the path, or null.
[[nodiscard]] const settings::route_settings_entry*
find_route(const route_table& table, std::string_view host_field, std::string_view target);

/// The service for one request, by weight; `draw` is uniform in 0 to 1.
[[nodiscard]] const std::string& choose_service(const settings::route_settings_entry& route, double draw);

} // namespace postpaddle::decision
