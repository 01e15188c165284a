// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/registry_rows.h>

#include <limits>
#include <stdexcept>

namespace postpaddle::gateway {

using nlohmann::json;

namespace {

/// Hosts state less.
constexpr std::uint64_t max_cold_ms = 24UL * 3'600'000;
constexpr auto last_stage = static_cast<std::uint64_t>(settings::engine_stage::both);

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

/// Thrown if a field has the right type but an invalid value.
class invalid_value : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A whole number from 0 to `maximum`. Checks the type first, as the library's conversion also accepts
/// fractions and numbers that don't fit.
std::uint64_t read_unsigned(const json& field,
                            std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max()) {
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maximum)
        throw invalid_value("number");
    return field.get<std::uint64_t>();
}

/// Throws `json::exception` or `invalid_value` if the row is malformed.
decision::registry_change decode_change(const json& row) {
    static constexpr std::size_t fields_without_entry = 2;
    decision::registry_change change{{row.at(0).get<std::string>()}, std::nullopt, read_unsigned(row.at(1))};
    if (row.size() == fields_without_entry)
        return change;
    settings::upstream_entry entry;
    entry.id = change.id;
    entry.service = row.at(2).get<std::string>();
    entry.address = row.at(3).get<std::string>();
    entry.availability_zone.value = row.at(4).get<std::string>();
    entry.slots = static_cast<int>(read_unsigned(row.at(5), settings::max_slots));
    entry.stage = static_cast<settings::engine_stage>(read_unsigned(row.at(6), last_stage));
    entry.is_leaving = row.at(7).get<bool>();
    entry.sequence = read_unsigned(row.at(8));
    // Hosts of an earlier version send no start time.
    static constexpr std::size_t born_column = 9;
    entry.start_time_ms = row.size() > born_column ? read_unsigned(row.at(born_column)) : 0;
    static constexpr std::size_t cold_column = 10;
    if (row.size() > cold_column)
        entry.cold_remaining = std::chrono::milliseconds(read_unsigned(row.at(cold_column), max_cold_ms));
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

std::optional<std::vector<decision::registry_change>> decode_changes(const json& value) {
    try {
        std::vector<decision::registry_change> changes;
        for (const json& row : value)
            changes.push_back(decode_change(row));
        return changes;
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const invalid_value&) {
        return std::nullopt;
    }
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
