// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/registry_rows.h>

namespace postpaddle::gateway {

using nlohmann::json;

namespace {

/// Encodes a row without field names, since many rows go to many hosts during a rollout.
json encode_change(const decision::registry_change& change) {
    json row = {change.id.value, change.offset};
    if (!change.entry)
        return row;
    const settings::upstream_entry& entry = *change.entry;
    for (json field : std::initializer_list<json>{entry.service, entry.address, entry.availability_zone.value,
                                                  entry.slots, static_cast<int>(entry.stage),
                                                  entry.is_leaving, entry.sequence, entry.start_time_ms,
                                                  entry.cold_remaining.count(), entry.software_version})
        row.push_back(std::move(field));
    return row;
}

decision::registry_change decode_change(const json& row) {
    static constexpr std::size_t fields_without_entry = 2;
    decision::registry_change change{
        {row.at(0).get<std::string>()}, std::nullopt, row.at(1).get<std::uint64_t>()};
    if (row.size() == fields_without_entry)
        return change;
    settings::upstream_entry entry;
    entry.id = change.id;
    entry.service = row.at(2).get<std::string>();
    entry.address = row.at(3).get<std::string>();
    entry.availability_zone.value = row.at(4).get<std::string>();
    entry.slots = row.at(5).get<int>();
    entry.stage = static_cast<settings::engine_stage>(row.at(6).get<int>());
    entry.is_leaving = row.at(7).get<bool>();
    entry.sequence = row.at(8).get<std::uint64_t>();
    // Hosts of an earlier version send no start time.
    static constexpr std::size_t born_column = 9;
    entry.start_time_ms = row.size() > born_column ? row.at(born_column).get<std::uint64_t>() : 0;
    static constexpr std::size_t cold_column = 10;
    if (row.size() > cold_column)
        entry.cold_remaining = std::chrono::milliseconds(row.at(cold_column).get<std::uint32_t>());
    static constexpr std::size_t version_column = 11;
    if (row.size() > version_column)
        entry.software_version = row.at(version_column).get<std::string>();
    change.entry = std::move(entry);
    return change;
}

} // namespace

json encode_changes(const std::vector<decision::registry_change>& changes) {
    json rows = json::array();
    for (const decision::registry_change& change : changes)
        rows.push_back(encode_change(change));
    return rows;
}

std::vector<decision::registry_change> decode_changes(const json& value) {
    std::vector<decision::registry_change> changes;
    for (const json& row : value)
        changes.push_back(decode_change(row));
    return changes;
}

json encode_registry(const decision::instance_table& table) {
    std::vector<decision::registry_change> changes;
    for (const auto& [id, known] : table.by_id) {
        const bool is_there =
            known.state == decision::listing::listed || known.state == decision::listing::leaving;
        decision::registry_change change{id, std::nullopt, known.offset};
        if (is_there) {
            change.entry = known.entry;
            change.entry->is_leaving = known.state == decision::listing::leaving;
        }
        changes.push_back(std::move(change));
    }
    return encode_changes(changes);
}

} // namespace postpaddle::gateway
