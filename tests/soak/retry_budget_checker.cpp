// SPDX-License-Identifier: BSD-2-Clause
#include <soak/checkers.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace postpaddle::soak {

namespace {

/// Times of what concerns one service.
struct service_traffic {
    std::vector<time_point> requests;
    std::vector<time_point> extra_arrivals; ///< That count, beyond the first of their request.
};

bool is_for_engines(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable_stream;
}

/// What the servers received of one request.
struct received_request {
    bool has_read_prompt = false;
    bool has_arrived = false;
};

/// Whether an engine answered a prompt. The first one of a request is not counted.
bool is_read_prompt(const arrival& row) {
    return row.is_prefill && row.refused_with == 0 && row.has_ended && !row.is_broken_off && !row.is_endless;
}

std::vector<const arrival*> in_order(const observations& seen) {
    std::vector<const arrival*> rows;
    rows.reserve(seen.arrivals.size());
    for (const arrival& row : seen.arrivals)
        rows.push_back(&row);
    std::ranges::stable_sort(rows, {}, &arrival::at);
    return rows;
}

/// By whether the service is that of engines. Requests that are not among the callers' are left out.
std::map<bool, service_traffic> traffic_of(const observations& seen) {
    std::map<bool, service_traffic> traffic;
    std::map<std::string, bool> is_for_engines_by_id;
    for (const attempt& row : seen.attempts) {
        is_for_engines_by_id[row.id] = is_for_engines(row.kind);
        traffic[is_for_engines(row.kind)].requests.push_back(row.sent_at);
    }
    std::map<std::string, received_request> received;
    for (const arrival* row : in_order(seen)) {
        const auto known = is_for_engines_by_id.find(row->attempt);
        if (known == is_for_engines_by_id.end())
            continue;
        received_request& request = received[row->attempt];
        if (is_read_prompt(*row) && !std::exchange(request.has_read_prompt, true))
            continue;
        if (std::exchange(request.has_arrived, true))
            traffic[known->second].extra_arrivals.push_back(row->at);
    }
    for (auto& [key, row] : traffic)
        std::ranges::sort(row.requests);
    return traffic;
}

std::ptrdiff_t count_within(const std::vector<time_point>& times, time_point from, milliseconds length) {
    const auto begin = std::ranges::lower_bound(times, from);
    return std::ranges::lower_bound(times, from + length) - begin;
}

/// Requests of the window, of the one before it or of the one half a window before, whichever has most.
std::ptrdiff_t requests_for(const service_traffic& traffic, time_point from, milliseconds window) {
    return std::max({count_within(traffic.requests, from, window),
                     count_within(traffic.requests, from - window, window),
                     count_within(traffic.requests, from - window / 2, window)});
}

} // namespace

std::vector<retry_usage> measure_retries(const observations& seen, const promised_bounds& bounds) {
    std::vector<retry_usage> usages;
    for (const auto& [is_of_engines, traffic] : traffic_of(seen)) {
        std::optional<retry_usage> most;
        for (const time_point from : traffic.extra_arrivals) {
            retry_usage usage{.is_of_engines = is_of_engines,
                              .extra = count_within(traffic.extra_arrivals, from, bounds.retry_window),
                              .requests = requests_for(traffic, from, bounds.retry_window)};
            usage.allowed = bounds.retry_ratio * static_cast<double>(usage.requests) + seen.retry_slack;
            const auto part = [](const retry_usage& row) {
                return static_cast<double>(row.extra) / row.allowed;
            };
            if (!most || part(usage) > part(*most))
                most = usage;
        }
        if (most)
            usages.push_back(*most);
    }
    return usages;
}

violations check_retry_budget(const observations& seen, const promised_bounds& bounds) {
    violations found;
    for (const retry_usage& usage : measure_retries(seen, bounds))
        if (static_cast<double>(usage.extra) > usage.allowed)
            found.push_back({"retry budget", std::string(usage.is_of_engines ? "engines" : "plain servers") +
                                                 ": " + std::to_string(usage.extra) + " extra arrivals for " +
                                                 std::to_string(usage.requests) + " requests"});
    return found;
}

} // namespace postpaddle::soak
