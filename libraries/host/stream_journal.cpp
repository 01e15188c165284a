// SPDX-License-Identifier: BSD-2-Clause
#include <host/stream_journal.h>

#include <base/json_parser.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::host {

namespace {

using nlohmann::json;

/// Bound on the lifetime that a record may ask for.
constexpr std::int64_t max_lifetime_ms = 3'600'000;

json encode_record(const journal_record& record) {
    return {record.keys.by_id.high,
            record.keys.by_id.low,
            record.keys.by_content.high,
            record.keys.by_content.low,
            record.origin.service,
            record.origin.software_version,
            record.revision,
            record.lifetime.count()};
}

journal_record decode_record(const json& value) {
    const auto lifetime = std::clamp<std::int64_t>(value.at(7).get<std::int64_t>(), 0, max_lifetime_ms);
    return {.keys = {.by_id = {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()},
                     .by_content = {value.at(2).get<std::uint64_t>(), value.at(3).get<std::uint64_t>()}},
            .origin = {.service = value.at(4).get<std::string>(),
                       .software_version = value.at(5).get<std::string>()},
            .revision = value.at(6).get<std::uint32_t>(),
            .lifetime = std::chrono::milliseconds(lifetime)};
}

} // namespace

std::uint32_t journal_partition_of(const stream_keys& keys) {
    return static_cast<std::uint32_t>(number_of(keys.by_content) % journal_partitions);
}

std::string encode_journal_batch(const std::vector<journal_record>& records) {
    json batch = json::array();
    for (const journal_record& record : records)
        batch.push_back(encode_record(record));
    std::string bytes;
    json::to_msgpack(batch, bytes);
    return bytes;
}

std::optional<std::vector<journal_record>> decode_journal_batch(std::string_view bytes) {
    try {
        const json batch = base::parse_msgpack(bytes);
        if (!batch.is_array())
            return std::nullopt;
        std::vector<journal_record> records;
        for (const json& record : batch)
            records.push_back(decode_record(record));
        return records;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

void journal_index::add(const journal_record& record, base::time_point now) {
    const base::time_point expires = now + record.lifetime;
    if (record.keys.by_id != stream_key{}) {
        const auto [known, is_new] =
            this->by_id.try_emplace(record.keys.by_id, id_entry{record.origin, record.revision, expires});
        if (!is_new) {
            // Records of one attempt may arrive in any order; the last one made tells what it began at. Two
            // different ones with the same revision come from a caller that has used an id twice.
            if (record.revision > known->second.revision)
                known->second = {record.origin, record.revision, known->second.expires};
            else if (record.revision == known->second.revision && record.origin != known->second.origin)
                known->second.origin = {};
            known->second.expires = std::max(known->second.expires, expires);
        }
    }
    base::time_point& kept_until = this->by_content[record.keys.by_content][record.origin];
    kept_until = std::max(kept_until, expires);
}

journal_findings journal_index::find(const stream_keys& keys, base::time_point now) const {
    journal_findings findings;
    const auto by_id = this->by_id.find(keys.by_id);
    if (keys.by_id != stream_key{} && by_id != this->by_id.end() && by_id->second.expires > now)
        findings.by_id = by_id->second.origin;
    const auto by_content = this->by_content.find(keys.by_content);
    if (by_content != this->by_content.end())
        for (const auto& [origin, expires] : by_content->second)
            if (expires > now)
                findings.by_content.insert(origin);
    return findings;
}

void journal_index::remove_expired(base::time_point now) {
    std::erase_if(this->by_id, [&](const auto& item) { return item.second.expires <= now; });
    for (auto& [key, origins] : this->by_content)
        std::erase_if(origins, [&](const auto& item) { return item.second <= now; });
    std::erase_if(this->by_content, [](const auto& item) { return item.second.empty(); });
}

} // namespace postpaddle::host
