// SPDX-License-Identifier: BSD-2-Clause
#include <host/quarantine_codec.h>

#include <algorithm>

namespace postpaddle::host {

using nlohmann::json;
using std::chrono::milliseconds;

std::int64_t age_of(base::time_point at, base::time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

base::time_point time_of(std::int64_t age, base::time_point now) {
    // Exceeds every retention period, and keeps the subtraction from overflowing.
    static constexpr std::int64_t max_age = std::chrono::milliseconds(std::chrono::hours(24)).count();
    return now - milliseconds(std::clamp<std::int64_t>(age, 0, max_age));
}

json encode_reports(const std::vector<suspect_report>& reports, base::time_point now) {
    json rows = json::array();
    for (const suspect_report& report : reports) {
        json exits = json::array();
        for (const upstream_exit& observed : report.exits)
            exits.push_back({observed.upstream, age_of(observed.at, now), observed.request});
        const json last_success =
            report.last_success ? json(age_of(*report.last_success, now)) : json(nullptr);
        rows.push_back(
            {report.request.high, report.request.low, report.is_stored, last_success, std::move(exits)});
    }
    return rows;
}

std::vector<suspect_report> decode_reports(const json& rows, base::time_point now) {
    std::vector<suspect_report> reports;
    for (const json& row : rows) {
        suspect_report report;
        report.request = {row.at(0).get<std::uint64_t>(), row.at(1).get<std::uint64_t>()};
        report.is_stored = row.at(2).get<bool>();
        if (!row.at(3).is_null())
            report.last_success = time_of(row.at(3).get<std::int64_t>(), now);
        for (const json& observed : row.at(4))
            // Hosts of an earlier version send no request.
            report.exits.push_back({observed.at(0).get<instance_key>(),
                                    time_of(observed.at(1).get<std::int64_t>(), now),
                                    observed.size() > 2 ? observed.at(2).get<std::uint64_t>() : 0});
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace postpaddle::host
