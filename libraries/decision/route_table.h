// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/routing_settings.h>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// Lookup table for the routes of one settings version. Holds pointers into the settings.
struct route_table {
    /// By host name; the routes of each host are sorted by prefix length, longest first.
    std::unordered_map<std::string, std::vector<const settings::route_entry*>> by_host;
};

/// Builds the table; the settings must outlive it.
[[nodiscard]] route_table make_route_table(const settings::routing_settings& settings);

/// Host name of a `Host` header without the port, in lower case.
[[nodiscard]] std::string host_name_of(std::string_view host_field);

/// Path of a request target, without its query.
[[nodiscard]] std::string_view path_of_target(std::string_view target);

/// The route with the longest matching path prefix, or null.
[[nodiscard]] const settings::route_entry* find_route(const route_table& table, std::string_view host_field,
                                                      std::string_view target);

/// Picks a service at random by weight; `draw` is uniform in [0, 1).
[[nodiscard]] const std::string& choose_service(const settings::route_entry& route, double draw);

} // namespace postpaddle::decision
