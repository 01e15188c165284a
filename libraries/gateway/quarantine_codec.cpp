// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/quarantine_codec.h>

#include <nlohmann/json.hpp>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Parts a note's key: the request's fingerprint before it, the host that wrote it behind.
constexpr char key_separator = '.';

std::int64_t age_of(base::time_point at, base::time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

base::time_point time_of(std::int64_t age, base::time_point now) {
    return now - milliseconds(std::max<std::int64_t>(0, age));
}

json encode_report(const host::suspect_report& report, base::time_point now) {
    json ends = json::array();
    for (const host::upstream_end& end : report.ends)
        ends.push_back({end.upstream, age_of(end.at, now)});
    const json good = report.good ? json(age_of(*report.good, now)) : json(nullptr);
    return {report.request.high, report.request.low, report.is_stored, good, std::move(ends)};
}

std::vector<host::upstream_end> decode_ends(const json& rows, base::time_point now) {
    std::vector<host::upstream_end> ends;
    for (const json& row : rows)
        ends.push_back({row.at(0).get<host::instance_key>(), time_of(row.at(1).get<std::uint32_t>(), now)});
    return ends;
}

host::suspect_report decode_report(const json& row, base::time_point now) {
    host::suspect_report report;
    report.request = {row.at(0).get<std::uint64_t>(), row.at(1).get<std::uint64_t>()};
    report.is_stored = row.at(2).get<bool>();
    if (!row.at(3).is_null())
        report.good = time_of(row.at(3).get<std::uint32_t>(), now);
    report.ends = decode_ends(row.at(4), now);
    return report;
}

std::int64_t wall_milliseconds(const base::clock& clock) {
    return std::chrono::duration_cast<milliseconds>(clock.wall_now().time_since_epoch()).count();
}

} // namespace

std::string encode_quarantine(const quarantine_message& message, base::time_point now) {
    json rows = json::array();
    for (const host::suspect_report& report : message.reports)
        rows.push_back(encode_report(report, now));
    std::string bytes;
    json::to_msgpack(json{message.host.value, std::move(rows)}, bytes);
    return bytes;
}

std::optional<quarantine_message> decode_quarantine(std::string_view bytes, base::time_point now) {
    try {
        const json value = json::from_msgpack(bytes);
        quarantine_message message;
        message.host.value = value.at(0).get<std::string>();
        for (const json& row : value.at(1))
            message.reports.push_back(decode_report(row, now));
        return message;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

ports::note encode_note(const host::suspect_report& report, const base::host_id& writer,
                        const base::clock& clock) {
    const base::time_point now = clock.now();
    const std::int64_t wall = wall_milliseconds(clock);
    json ends = json::array();
    for (const host::upstream_end& end : report.ends)
        ends.push_back({end.upstream, wall - age_of(end.at, now)});
    json value = {{"ends", std::move(ends)}};
    if (report.good)
        value["good"] = wall - age_of(*report.good, now);
    return {host::to_text(report.request) + key_separator + writer.value, value.dump()};
}

std::optional<host::suspect_report> decode_note(const ports::note& note, const base::clock& clock) {
    const auto request = host::parse_fingerprint(note.key.substr(0, note.key.find(key_separator)));
    if (!request || !note.text)
        return std::nullopt;
    const base::time_point now = clock.now();
    const std::int64_t wall = wall_milliseconds(clock);
    try {
        const json value = json::parse(*note.text);
        host::suspect_report report{.request = *request, .ends = {}};
        for (const json& row : value.at("ends"))
            report.ends.push_back(
                {row.at(0).get<host::instance_key>(), time_of(wall - row.at(1).get<std::int64_t>(), now)});
        if (value.contains("good"))
            report.good = time_of(wall - value["good"].get<std::int64_t>(), now);
        return report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace postpaddle::gateway
