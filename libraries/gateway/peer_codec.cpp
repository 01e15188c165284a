// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peer_codec.h>

namespace postpaddle::gateway {

using nlohmann::json;

json encode_registry(const decision::instance_table& table) {
    json rows = json::array();
    for (const auto& [id, known] : table.by_id) {
        const settings::upstream_entry& entry = known.entry;
        const bool is_there =
            known.state == decision::listing::listed || known.state == decision::listing::leaving;
        rows.push_back({{"id", id.value},
                        {"offset", known.offset},
                        {"is_there", is_there},
                        {"service", entry.service},
                        {"address", entry.address},
                        {"availability_zone", entry.availability_zone.value},
                        {"places", entry.places},
                        {"stage", static_cast<int>(entry.stage)},
                        {"is_leaving", known.state == decision::listing::leaving},
                        {"sequence", entry.sequence}});
    }
    return rows;
}

std::vector<decision::registry_change> decode_registry(const json& value) {
    std::vector<decision::registry_change> changes;
    for (const json& row : value) {
        decision::registry_change change{
            {row.at("id").get<std::string>()}, std::nullopt, row.at("offset").get<std::uint64_t>()};
        if (row.at("is_there").get<bool>()) {
            settings::upstream_entry entry;
            entry.id = change.id;
            entry.service = row.at("service").get<std::string>();
            entry.address = row.at("address").get<std::string>();
            entry.availability_zone.value = row.at("availability_zone").get<std::string>();
            entry.places = row.at("places").get<int>();
            entry.stage = static_cast<settings::engine_stage>(row.at("stage").get<int>());
            entry.is_leaving = row.at("is_leaving").get<bool>();
            entry.sequence = row.at("sequence").get<std::uint64_t>();
            change.entry = std::move(entry);
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace postpaddle::gateway
