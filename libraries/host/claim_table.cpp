// SPDX-License-Identifier: BSD-2-Clause
#include <host/claim_table.h>

#include <base/json_parser.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::host {

namespace {

using json = nlohmann::json;

/// Allowed clock skew between callers and hosts. Keys this close to the retention limit count as too old.
constexpr std::int64_t clock_skew_milliseconds = 60'000;

constexpr int highest_outcome = static_cast<int>(claim_outcome::not_run);

} // namespace

std::string encode_batch(const claim_batch& batch) {
    json claims = json::array();
    for (const claim& item : batch.claims)
        claims.push_back({item.key, item.body, item.request});
    json ends = json::array();
    for (const claim_end& item : batch.ends)
        ends.push_back({item.key, item.request, static_cast<int>(item.outcome)});
    return json{{"type", "claims"},
                {"id", batch.id},
                {"at", batch.wall_milliseconds},
                {"claims", claims},
                {"ends", ends}}
        .dump();
}

std::optional<claim_batch> decode_batch(const std::string& payload) {
    const json parsed = base::parse_json(payload);
    try {
        claim_batch batch;
        batch.id = parsed.at("id").get<std::string>();
        batch.wall_milliseconds = parsed.at("at").get<std::int64_t>();
        for (const json& item : parsed.at("claims"))
            batch.claims.push_back({item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint64_t>(),
                                    item.at(2).get<std::string>()});
        for (const json& item : parsed.at("ends")) {
            const int outcome = std::clamp(item.at(2).get<int>(), 0, highest_outcome);
            batch.ends.push_back({item.at(0).get<std::uint64_t>(), item.at(1).get<std::string>(),
                                  static_cast<claim_outcome>(outcome)});
        }
        return batch;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

void did_trim(claim_table& table, std::uint64_t earliest, std::int64_t first_wall_milliseconds) {
    if (table.next_offset >= earliest)
        return;
    table.next_offset = earliest;
    table.complete_since = std::max(table.complete_since, first_wall_milliseconds);
}

void apply_claims(claim_table& table, std::uint64_t offset, const std::string& payload) {
    if (offset < table.next_offset)
        return;
    table.next_offset = offset + 1;
    const auto batch = decode_batch(payload);
    if (!batch) {
        ++table.malformed_records;
        return;
    }
    // Outcomes first: a batch may contain both the outcome that releases a key and the claim that takes it
    // next.
    for (const claim_end& item : batch->ends) {
        const auto found = table.entries.find(item.key);
        if (found == table.entries.end() || found->second.request != item.request)
            continue;
        if (item.outcome == claim_outcome::not_run)
            table.entries.erase(found);
        else
            found->second.outcome = item.outcome;
    }
    // The first claim of a key by offset wins. Repeating the same claim has no effect.
    for (const claim& item : batch->claims)
        table.entries.try_emplace(
            item.key, claim_entry{item.body, item.request, claim_outcome::unknown, batch->wall_milliseconds});
}

claim_resolution resolve_claim(const claim_table& table, const claim& wanted, std::int64_t key_milliseconds) {
    const auto found = table.entries.find(wanted.key);
    if (found != table.entries.end()) {
        const claim_entry& entry = found->second;
        if (entry.request == wanted.request)
            return {claim_verdict::won, entry.outcome, entry.request};
        if (entry.body != wanted.body)
            return {claim_verdict::body_mismatch, entry.outcome, entry.request};
        return {claim_verdict::taken, entry.outcome, entry.request};
    }
    const bool may_be_forgotten =
        table.complete_since != 0 && key_milliseconds < table.complete_since + clock_skew_milliseconds;
    if (may_be_forgotten)
        return {claim_verdict::too_old, claim_outcome::unknown, ""};
    return {};
}

void evict_before(claim_table& table, std::int64_t wall_milliseconds) {
    const auto dropped = std::erase_if(table.entries, [wall_milliseconds](const auto& item) {
        return item.second.wall_milliseconds < wall_milliseconds;
    });
    if (dropped > 0)
        table.complete_since = std::max(table.complete_since, wall_milliseconds);
}

const char* to_text(claim_outcome outcome) {
    switch (outcome) {
    case claim_outcome::unknown:
        return "unknown";
    case claim_outcome::succeeded:
        return "succeeded";
    case claim_outcome::failed:
        return "failed";
    case claim_outcome::not_run:
        return "not-run";
    }
    return "";
}

} // namespace postpaddle::host
