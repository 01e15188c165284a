// SPDX-License-Identifier: BSD-2-Clause
#include <decision/route_table.h>

#include <base/verify.h>

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>

namespace postpaddle::decision {

route_table make_route_table(const settings::routing_settings& settings) {
    route_table table;
    for (const auto& route : settings.routes)
        table.by_host[route.host].push_back(&route);
    for (auto& [host, routes] : table.by_host)
        std::ranges::stable_sort(routes, [](const auto* left, const auto* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    return table;
}

std::string host_name_of(std::string_view host_field) {
    return boost::algorithm::to_lower_copy(std::string(host_field.substr(0, host_field.find(':'))));
}

std::string_view path_of_target(std::string_view target) { return target.substr(0, target.find('?')); }

const settings::route_entry* find_route(const route_table& table, std::string_view host_field,
                                        std::string_view target) {
    const auto found = table.by_host.find(host_name_of(host_field));
    if (found == table.by_host.end())
        return nullptr;
    const std::string_view path = path_of_target(target);
    const auto match = std::ranges::find_if(
        found->second, [path](const auto* route) { return path.starts_with(route->path_prefix); });
    return match == found->second.end() ? nullptr : *match;
}

const std::string& choose_service(const settings::route_entry& route, double draw) {
    POSTPADDLE_VERIFY(!route.services.empty());
    double total = 0;
    for (const auto& part : route.services)
        total += part.weight;
    double left = draw * total;
    for (const auto& part : route.services) {
        left -= part.weight;
        if (left < 0)
            return part.service;
    }
    return route.services.back().service;
}

} // namespace postpaddle::decision
