// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/service_splits.h>

#include <base/json_parser.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;

/// Beyond this many splits none is added until the oldest has expired: streams go where there is room, with a
/// record.
constexpr std::size_t max_splits = 32;

} // namespace

std::string encode_splits(const service_splits& splits) {
    json history = json::array();
    for (const decision::traffic_split& split : splits.history.splits)
        history.push_back(split.weights);
    return base::write_json(
        {{"first", splits.history.first_number}, {"splits", history}, {"routes", splits.routes}});
}

std::optional<service_splits> decode_splits(std::string_view text) {
    try {
        const json value = base::parse_json(text);
        service_splits splits;
        for (const json& weights : value.at("splits"))
            splits.history.splits.push_back({weights.get<std::map<std::string, std::uint32_t>>()});
        splits.history.first_number = value.at("first").get<std::uint64_t>();
        splits.routes = value.at("routes").get<std::set<std::string>>();
        return splits;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::map<std::string, service_view> view_services(const settings::routing_settings& settings,
                                                  const decision::instance_table& instances) {
    std::map<std::string, service_view> views;
    for (const settings::route_entry& route : settings.routes)
        if (settings::is_resumable_stream(route))
            for (const settings::weighted_service& part : route.services)
                views[part.service].routes.insert(route.name);
    for (const auto& [id, known] : instances.by_id) {
        const auto view = views.find(known.entry.service);
        if (view == views.end())
            continue;
        const std::string& version = known.entry.software_version;
        view->second.versions.insert(version);
        const bool runs_streams = known.entry.stage != settings::engine_stage::prefill;
        if (known.state == decision::listing::listed && runs_streams && !version.empty())
            view->second.capacity[version] += static_cast<std::uint32_t>(std::max(known.entry.slots, 1));
    }
    return views;
}

std::optional<service_splits> update_splits(const std::optional<service_splits>& stored,
                                            const service_view& view, const expired_splits& expired) {
    service_splits updated = stored.value_or(service_splits{});
    auto& splits = updated.history.splits;
    const std::size_t old = std::min(expired.splits, splits.empty() ? 0 : splits.size() - 1);
    splits.erase(splits.begin(), splits.begin() + static_cast<std::ptrdiff_t>(old));
    updated.history.first_number += old;
    const auto newest = splits.empty() ? std::nullopt : std::optional(splits.back());
    const auto next = decision::next_split(newest, view.capacity);
    if (next && splits.size() < max_splits)
        splits.push_back(*next);
    for (const std::string& route : expired.routes)
        if (!view.routes.contains(route))
            updated.routes.erase(route);
    updated.routes.insert(view.routes.begin(), view.routes.end());
    if (splits.empty() || updated == stored)
        return std::nullopt;
    return updated;
}

void record_ages(split_ages& ages, const service_splits& splits, const service_view& view,
                 base::time_point now) {
    const auto& history = splits.history.splits;
    // The stored history loses its oldest splits and gets new ones at its end.
    while (!ages.since.empty() && ages.first_number < splits.history.first_number) {
        ages.since.pop_front();
        ++ages.first_number;
    }
    ages.first_number = splits.history.first_number;
    while (ages.since.size() < history.size())
        ages.since.push_back(now);
    std::erase_if(ages.unused_routes, [&](const auto& item) { return view.routes.contains(item.first); });
    for (const std::string& route : splits.routes)
        if (!view.routes.contains(route))
            ages.unused_routes.try_emplace(route, now);
}

expired_splits find_expired(const split_ages& ages, base::duration retention, base::time_point now) {
    expired_splits expired;
    // A split is out of use since the next one is known.
    while (expired.splits + 1 < ages.since.size() && now - ages.since[expired.splits + 1] >= retention)
        ++expired.splits;
    for (const auto& [route, since] : ages.unused_routes)
        if (now - since >= retention)
            expired.routes.insert(route);
    return expired;
}

} // namespace postpaddle::gateway
