// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/peer_codec.h>

#include <base/json_parser.h>
#include <gateway/peers/zone_record_codec.h>
#include <host/quarantine_codec.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::gateway {

using nlohmann::json;

namespace {

/// Hosts of an earlier version send no zone; they still count for the shared retry budget.
std::string zone_of(const json& value) { return value.value("availability_zone", std::string()); }

/// Bound on decoded rows; hosts send fewer.
constexpr std::size_t max_advertisements = 256;
/// Clamp for received ages, so that corrupt values cannot overflow a time point.
constexpr std::int64_t max_age_ms = 24L * 3'600'000;

/// One row each: instance key, limit in requests per second (-1: none), its age in milliseconds, whether the
/// upstream is leaving.
json encode_advertisements(const std::vector<host::advertised_state>& advertisements) {
    json rows = json::array();
    for (const host::advertised_state& advertisement : advertisements)
        rows.push_back({advertisement.key, advertisement.per_second.value_or(-1),
                        std::chrono::duration_cast<std::chrono::milliseconds>(advertisement.age).count(),
                        advertisement.is_leaving});
    return rows;
}

std::vector<host::advertised_state> decode_advertisements(const json& rows) {
    std::vector<host::advertised_state> advertisements;
    for (const json& row : rows) {
        if (advertisements.size() == max_advertisements)
            break;
        const auto per_second = row.at(1).get<double>();
        const auto age = std::clamp<std::int64_t>(row.at(2).get<std::int64_t>(), 0, max_age_ms);
        advertisements.push_back({.key = row.at(0).get<host::instance_key>(),
                                  .per_second = per_second < 0 ? std::nullopt : std::optional(per_second),
                                  .age = std::chrono::milliseconds(age),
                                  .is_leaving = row.at(3).get<bool>()});
    }
    return advertisements;
}

} // namespace

json encode_heartbeat(const heartbeat& message, base::time_point now) {
    json others = json::object();
    for (const auto& [name, known] : message.others) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.last_seen);
        others[name.value] = {{"address", known.address},
                              {"availability_zone", known.zone.value},
                              {"heard_ms_ago", age.count()}};
    }
    json value = {{"host", message.host.value},
                  {"address", message.address},
                  {"availability_zone", message.availability_zone.value},
                  {"settings_version", message.settings_version},
                  {"is_leaving", message.is_leaving},
                  {"hosts", std::move(others)},
                  {"zones", encode_zones(message.zones)}};
    if (message.splits_end > 0)
        value["splits_end"] = message.splits_end;
    if (!message.suspects.empty())
        value["suspects"] = host::encode_reports(message.suspects, now);
    if (!message.advertisements.empty())
        value["words"] = encode_advertisements(message.advertisements);
    return value;
}

std::optional<heartbeat> decode_heartbeat(std::string_view text, base::time_point now) {
    try {
        const json value = base::parse_json(text);
        heartbeat message = {.host = {value.at("host").get<std::string>()},
                             .address = value.at("address").get<std::string>(),
                             .availability_zone = {zone_of(value)},
                             .settings_version = value.at("settings_version").get<std::uint64_t>(),
                             .is_leaving = value.at("is_leaving").get<bool>(),
                             .splits_end = value.value("splits_end", std::uint64_t{0})};
        for (const auto& [name, row] : value.at("hosts").items()) {
            const std::chrono::milliseconds age(row.at("heard_ms_ago").get<std::uint32_t>());
            message.others[{name}] = {.address = row.at("address").get<std::string>(),
                                      .zone = {zone_of(row)},
                                      .last_seen = now - age};
        }
        message.zones = decode_zones(value);
        if (value.contains("suspects"))
            message.suspects = host::decode_reports(value["suspects"], now);
        if (value.contains("words"))
            message.advertisements = decode_advertisements(value["words"]);
        if (message.host.is_empty() || message.address.empty())
            return std::nullopt;
        return message;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

namespace {

/// A larger number of hosts means that the report is corrupt.
constexpr int max_hosts = 100'000;
/// Bounds on decoded rows; hosts send fewer.
constexpr std::size_t max_shares = 1'024;
constexpr std::size_t max_observations = 64;
/// Clamps for received values, so that corrupt ones cannot overflow.
constexpr double max_tokens = 1e9;
constexpr int max_load_count = 1'000'000;
constexpr int max_load_percent = 100'000;

std::int64_t to_ms(base::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

base::duration age_from(const json& value) {
    return std::chrono::milliseconds(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, max_age_ms));
}

double clamp_tokens(double tokens) { return std::isfinite(tokens) ? std::clamp(tokens, 0.0, max_tokens) : 0; }

double clamp_pace(double pace) {
    return std::isfinite(pace) ? std::clamp(pace, decision::min_pace, decision::max_pace) : 1;
}

int clamp_count(const json& value, int max) {
    return static_cast<int>(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, max));
}

/// Columns after the instance's key: requests, tokens of memory, prompt tokens not prefilled yet.
decision::instance_use decode_use(const json& row) {
    return {.requests = clamp_count(row.at(1), max_load_count),
            .memory_tokens = clamp_tokens(row.at(2).get<double>()),
            .prompt_tokens = clamp_tokens(row.at(3).get<double>())};
}

/// One row: wait and, if known, longest wait in time (-1 otherwise) in milliseconds, tokens, rank, share key.
json encode_waiter(const decision::waiter& waiter) {
    return {to_ms(waiter.waited), static_cast<std::int64_t>(waiter.memory_tokens),
            waiter.in_time ? to_ms(*waiter.in_time) : -1, waiter.rank, waiter.share_key};
}

decision::waiter decode_waiter(const json& row) {
    decision::waiter waiter = {age_from(row.at(0)), clamp_tokens(row.at(1).get<double>())};
    // Hosts of an earlier version send only these.
    static constexpr std::size_t fields_before_rank = 2;
    if (row.size() <= fields_before_rank)
        return waiter;
    const auto in_time = row.at(fields_before_rank).get<std::int64_t>();
    if (in_time >= 0)
        waiter.in_time = std::chrono::milliseconds(std::min(in_time, max_age_ms));
    waiter.rank = static_cast<int>(
        std::clamp<std::int64_t>(row.at(fields_before_rank + 1).get<std::int64_t>(), 0, decision::max_rank));
    waiter.share_key = row.at(fields_before_rank + 2).get<host::share_key>();
    return waiter;
}

json encode_shares(const std::map<host::share_key, double>& shares) {
    json rows = json::array();
    for (const auto& [key, tokens] : shares)
        rows.push_back({key, static_cast<std::int64_t>(tokens)});
    return rows;
}

std::map<host::share_key, double> decode_shares(const json& rows) {
    std::map<host::share_key, double> shares;
    for (const json& row : rows)
        if (shares.size() < max_shares)
            shares[row.at(0).get<host::share_key>()] = clamp_tokens(row.at(1).get<double>());
    return shares;
}

/// One row each: instance key, running, waiting, slots, relative latency in percent, age in milliseconds.
json encode_loads(const std::vector<host::observed_load>& loads) {
    json rows = json::array();
    for (const host::observed_load& observed : loads)
        rows.push_back({observed.key, observed.load.running, observed.load.waiting, observed.load.slots,
                        observed.load.relative_latency_percent, to_ms(observed.age)});
    return rows;
}

std::vector<host::observed_load> decode_loads(const json& rows) {
    std::vector<host::observed_load> loads;
    for (const json& row : rows)
        if (loads.size() < max_observations)
            loads.push_back(
                {.key = row.at(0).get<host::instance_key>(),
                 .load = {.running = clamp_count(row.at(1), max_load_count),
                          .waiting = clamp_count(row.at(2), max_load_count),
                          .slots = clamp_count(row.at(3), max_load_count),
                          .relative_latency_percent = std::max(1, clamp_count(row.at(4), max_load_percent))},
                 .age = age_from(row.at(5))});
    return loads;
}

/// One row each: instance key, relative prefill and decode times in percent, age in milliseconds.
json encode_paces(const std::vector<host::observed_pace>& paces) {
    static constexpr double percent = 100;
    json rows = json::array();
    for (const host::observed_pace& observed : paces)
        rows.push_back({observed.key, std::llround(observed.pace.prefill * percent),
                        std::llround(observed.pace.decode * percent), to_ms(observed.age)});
    return rows;
}

std::vector<host::observed_pace> decode_paces(const json& rows) {
    static constexpr double percent = 100;
    std::vector<host::observed_pace> paces;
    for (const json& row : rows)
        if (paces.size() < max_observations)
            paces.push_back({.key = row.at(0).get<host::instance_key>(),
                             .pace = {.prefill = clamp_pace(row.at(1).get<double>() / percent),
                                      .decode = clamp_pace(row.at(2).get<double>() / percent)},
                             .age = age_from(row.at(3))});
    return paces;
}

} // namespace

std::string encode_cell_loads(const std::vector<host::reported_load>& loads) {
    json rows = json::array();
    for (const host::reported_load& load : loads)
        rows.push_back({load.key, load.use.requests, static_cast<std::int64_t>(load.use.memory_tokens),
                        static_cast<std::int64_t>(load.use.prompt_tokens), load.is_avoided});
    std::string bytes;
    json::to_msgpack(rows, bytes);
    return bytes;
}

std::optional<std::vector<host::reported_load>> decode_cell_loads(std::string_view bytes) {
    try {
        std::vector<host::reported_load> loads;
        for (const json& row : base::parse_msgpack(bytes))
            loads.push_back({row.at(0).get<host::instance_key>(), decode_use(row), row.at(4).get<bool>()});
        return loads;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_load(const host::load_report& report) {
    json uses = json::array();
    for (const auto& [key, use] : report.uses)
        uses.push_back({key, use.requests, static_cast<std::int64_t>(use.memory_tokens),
                        static_cast<std::int64_t>(use.prompt_tokens)});
    json waiters = json::array();
    for (const decision::waiter& waiter : report.waiters)
        waiters.push_back(encode_waiter(waiter));
    json organisations = json::array();
    for (const auto& [key, use] : report.organisations)
        organisations.push_back({key, use.before, use.now});
    const json value = {report.host.value,
                        report.incarnation,
                        report.sequence,
                        std::move(uses),
                        std::move(waiters),
                        report.avoided,
                        report.out_of_service,
                        std::move(organisations),
                        report.hosts,
                        encode_advertisements(report.advertisements),
                        encode_shares(report.share_tokens),
                        encode_loads(report.loads),
                        encode_paces(report.paces)};
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<host::load_report> decode_load(std::string_view bytes) {
    try {
        const json value = base::parse_msgpack(bytes);
        host::load_report report;
        report.host.value = value.at(0).get<std::string>();
        report.incarnation = value.at(1).get<std::uint64_t>();
        report.sequence = value.at(2).get<std::uint64_t>();
        for (const json& row : value.at(3))
            report.uses[row.at(0).get<host::instance_key>()] = decode_use(row);
        for (const json& row : value.at(4))
            report.waiters.push_back(decode_waiter(row));
        report.avoided = value.at(5).get<std::vector<host::instance_key>>();
        report.out_of_service = value.at(6).get<std::vector<host::instance_key>>();
        // Hosts of an earlier version send no organisations.
        static constexpr std::size_t organisations_field = 7;
        if (value.size() <= organisations_field)
            return report;
        for (const json& row : value.at(organisations_field))
            report.organisations[row.at(0).get<host::organisation_key>()] = {row.at(1).get<std::int64_t>(),
                                                                             row.at(2).get<std::int64_t>()};
        report.hosts = value.at(organisations_field + 1).get<int>();
        if (report.hosts < 1 || report.hosts > max_hosts)
            return std::nullopt;
        // Hosts of an earlier version send no advertised state.
        static constexpr std::size_t advertisements_field = organisations_field + 2;
        if (value.size() > advertisements_field)
            report.advertisements = decode_advertisements(value.at(advertisements_field));
        // Hosts of an earlier version send neither shares nor observations.
        static constexpr std::size_t shares_field = advertisements_field + 1;
        if (value.size() <= shares_field)
            return report;
        report.share_tokens = decode_shares(value.at(shares_field));
        report.loads = decode_loads(value.at(shares_field + 1));
        report.paces = decode_paces(value.at(shares_field + 2));
        return report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace postpaddle::gateway
