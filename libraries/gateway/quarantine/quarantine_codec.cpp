// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/quarantine/quarantine_codec.h>

#include <base/json_parser.h>
#include <host/quarantine_codec.h>

#include <nlohmann/json.hpp>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Separates the request's fingerprint and the name of the writing host in a note's key.
constexpr char key_separator = '.';

std::int64_t wall_milliseconds(const base::clock& clock) {
    return std::chrono::duration_cast<milliseconds>(clock.wall_now().time_since_epoch()).count();
}

} // namespace

std::string encode_quarantine(const quarantine_message& message, base::time_point now) {
    std::string bytes;
    json::to_msgpack(json{message.host.value, host::encode_reports(message.reports, now)}, bytes);
    return bytes;
}

std::optional<quarantine_message> decode_quarantine(std::string_view bytes, base::time_point now) {
    try {
        const json value = base::parse_msgpack(bytes);
        return quarantine_message{.host = {value.at(0).get<std::string>()},
                                  .reports = host::decode_reports(value.at(1), now)};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

ports::quarantine_note encode_quarantine_note(const host::suspect_report& report, const base::host_id& writer,
                                              const base::clock& clock) {
    const base::time_point now = clock.now();
    const std::int64_t wall = wall_milliseconds(clock);
    json ends = json::array();
    for (const host::upstream_exit& end : report.exits)
        ends.push_back({end.upstream, wall - host::age_of(end.at, now), end.request});
    json value = {{"ends", std::move(ends)}};
    if (report.last_success)
        value["good"] = wall - host::age_of(*report.last_success, now);
    return {host::to_text(report.request) + key_separator + writer.value, base::write_json(value)};
}

std::optional<host::suspect_report> decode_quarantine_note(const ports::quarantine_note& note,
                                                           const base::clock& clock) {
    const auto request = host::parse_fingerprint(note.key.substr(0, note.key.find(key_separator)));
    if (!request || !note.text)
        return std::nullopt;
    const base::time_point now = clock.now();
    const std::int64_t wall = wall_milliseconds(clock);
    try {
        const json value = base::parse_json(*note.text);
        host::suspect_report report{.request = *request, .exits = {}};
        for (const json& row : value.at("ends"))
            report.exits.push_back({row.at(0).get<host::instance_key>(),
                                    host::time_of(wall - row.at(1).get<std::int64_t>(), now),
                                    row.size() > 2 ? row.at(2).get<std::uint64_t>() : 0});
        if (value.contains("good"))
            report.last_success = host::time_of(wall - value["good"].get<std::int64_t>(), now);
        return report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace postpaddle::gateway
