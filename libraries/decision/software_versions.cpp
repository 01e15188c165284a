// SPDX-License-Identifier: BSD-2-Clause
#include <decision/software_versions.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Versions of a service that are remembered; the one that was last seen the longest ago is forgotten first.
constexpr std::size_t max_versions = 64;

void forget_oldest(std::map<std::string, version_sighting>& sightings) {
    if (sightings.size() <= max_versions)
        return;
    sightings.erase(
        std::ranges::min_element(sightings, {}, [](const auto& sighting) { return sighting.second.last; }));
}

/// The versions of the service's upstreams in the table, listed or not.
std::set<std::string> versions_in_table(const instance_table& table, const std::string& service) {
    std::set<std::string> versions;
    for (const auto& [id, known] : table.by_id)
        if (known.entry.service == service)
            versions.insert(known.entry.software_version);
    return versions;
}

} // namespace

void record_version(software_versions& versions, const settings::upstream_entry& entry,
                    base::time_point now) {
    auto& sightings = versions.by_service[entry.service];
    const auto [sighting, is_new] = sightings.try_emplace(entry.software_version, version_sighting{now, now});
    sighting->second.last = now;
    if (is_new)
        forget_oldest(sightings);
}

void record_all_versions(software_versions& versions, const instance_table& table, base::time_point now) {
    for (const auto& [id, known] : table.by_id)
        record_version(versions, known.entry, now);
}

std::optional<std::string> sole_version(const software_versions& versions, const instance_table& table,
                                        const std::string& service, base::duration window,
                                        base::time_point now) {
    if (!versions.known_since || now - *versions.known_since < window)
        return std::nullopt;
    std::set<std::string> recent = versions_in_table(table, service);
    const auto sightings = versions.by_service.find(service);
    if (sightings != versions.by_service.end())
        for (const auto& [version, sighting] : sightings->second)
            if (now - sighting.last < window)
                recent.insert(version);
    if (recent.size() != 1 || recent.begin()->empty())
        return std::nullopt;
    return *recent.begin();
}

std::set<std::string> unsettled_versions(const software_versions& versions, const instance_table& table,
                                         const std::string& service, base::duration settling_time,
                                         base::time_point now) {
    const auto sightings = versions.by_service.find(service);
    if (sightings == versions.by_service.end() || sightings->second.size() < 2)
        return {};
    std::set<std::string> unsettled;
    for (const auto& [version, sighting] : sightings->second)
        // What this host knew when it started may be as old as the service.
        if (now - sighting.first < settling_time && sighting.first != versions.known_since)
            unsettled.insert(version);
    if (unsettled.empty())
        return {};
    const bool has_settled = std::ranges::any_of(table.by_id, [&](const auto& item) {
        const instance& known = item.second;
        return known.entry.service == service && known.state == listing::listed &&
               !unsettled.contains(known.entry.software_version);
    });
    return has_settled ? unsettled : std::set<std::string>{};
}

bool is_version_listed(const instance_table& table, const std::string& service, const std::string& version) {
    return std::ranges::any_of(table.by_id, [&](const auto& item) {
        const instance& known = item.second;
        return known.entry.service == service && known.entry.software_version == version &&
               (known.state == listing::listed || known.state == listing::unlisted);
    });
}

} // namespace postpaddle::decision
