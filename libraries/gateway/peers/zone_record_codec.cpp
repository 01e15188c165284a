// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/zone_record_codec.h>

namespace postpaddle::gateway {

using nlohmann::json;

json encode_zones(const decision::zone_record_page& zones) {
    json value = {zones.end};
    for (const decision::zone_record& record : zones.records)
        value.push_back({record.zone.value, record.is_evacuated, record.offset});
    return value;
}

decision::zone_record_page decode_zones(const json& message) {
    static constexpr std::size_t max_rows = 1'024;
    decision::zone_record_page zones{.records = {}, .end = 0, .is_complete = true};
    if (!message.contains("zones") || message["zones"].size() > max_rows)
        return zones;
    const json& value = message["zones"];
    zones.end = value.at(0).get<std::uint64_t>();
    for (std::size_t row = 1; row < value.size(); ++row)
        zones.records.push_back({{value[row].at(0).get<std::string>()},
                                 value[row].at(1).get<bool>(),
                                 value[row].at(2).get<std::uint64_t>()});
    return zones;
}

} // namespace postpaddle::gateway
