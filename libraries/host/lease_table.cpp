// SPDX-License-Identifier: BSD-2-Clause
#include <host/lease_table.h>

#include <base/json_parser.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace postpaddle::host {

namespace {

using json = nlohmann::json;

constexpr std::int64_t max_lease_milliseconds = 600'000;

} // namespace

std::string encode_bid(const lease_bid& bid) {
    return json{{"type", "lease"},
                {"resource", bid.resource},
                {"holder", bid.holder},
                {"previous", bid.previous_token},
                {"duration_ms", bid.duration_milliseconds}}
        .dump();
}

std::optional<lease_bid> decode_bid(const std::string& payload) {
    const json parsed = base::parse_json(payload);
    try {
        lease_bid bid;
        bid.resource = parsed.at("resource").get<std::string>();
        bid.holder = parsed.at("holder").get<std::string>();
        bid.previous_token = parsed.at("previous").get<std::uint64_t>();
        bid.duration_milliseconds = parsed.at("duration_ms").get<std::int64_t>();
        if (bid.duration_milliseconds <= 0 || bid.duration_milliseconds > max_lease_milliseconds)
            return std::nullopt;
        return bid;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

void apply_lease_bid(lease_table& table, std::uint64_t offset, const std::string& payload,
                     base::time_point now) {
    if (offset < table.next_offset)
        return;
    table.next_offset = offset + 1;
    const auto bid = decode_bid(payload);
    if (!bid) {
        ++table.malformed_records;
        return;
    }
    const auto found = table.entries.find(bid->resource);
    const std::uint64_t in_force = found == table.entries.end() ? 0 : found->second.token;
    if (bid->previous_token != in_force)
        return;
    table.entries[bid->resource] = {offset, bid->holder,
                                    std::chrono::milliseconds(bid->duration_milliseconds), now};
}

bool is_expired(const lease_entry& entry, const lease_margins& margins, base::time_point now) {
    return now >= entry.read_at + base::scaled(entry.length, 1 + margins.clock_rate);
}

bool may_issue_orders(const lease_entry& entry, base::time_point bid_at, const lease_margins& margins,
                      base::time_point now) {
    const base::duration safe = base::scaled(entry.length, 1 - margins.clock_rate) - margins.order_delay;
    return now < bid_at + safe;
}

base::duration wait_before_orders(bool upstream_checks, bool had_holder, const lease_margins& margins) {
    if (upstream_checks || !had_holder)
        return base::duration::zero();
    return margins.max_pause;
}

base::duration pause_between_holders(const order_pacing& pacing, const lease_margins& margins) {
    return std::max(pacing.min_pause, wait_before_orders(pacing.do_upstreams_check_tokens, true, margins));
}

base::duration lease_length(const order_pacing& pacing, const lease_margins& margins) {
    static constexpr int pauses_per_lease = 3;
    return pacing.min_pause * pauses_per_lease + pause_between_holders(pacing, margins);
}

} // namespace postpaddle::host
