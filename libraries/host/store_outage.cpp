// SPDX-License-Identifier: BSD-2-Clause
#include <host/store_outage.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

bool covers_window(const outage_options& options, const served_span& span) {
    return span.until - span.since >= options.window;
}

bool is_refuted(const outage_evidence& evidence, const outage_options& options, base::time_point now) {
    if (covers_window(options, evidence.own) && now - evidence.own.until <= options.max_proof_age)
        return true;
    return evidence.witness && now - evidence.witness->until <= options.max_proof_age;
}

} // namespace

void record_served(outage_evidence& evidence, const outage_options& options, base::time_point now) {
    const bool is_continued =
        evidence.own.until != base::time_point{} && now - evidence.own.until <= options.max_proof_age;
    if (!is_continued)
        evidence.own.since = now;
    evidence.own.until = now;
}

void record_failed(outage_evidence& evidence, base::time_point now) {
    evidence.own = {};
    evidence.own_failed_at = now;
}

void record_failing(outage_evidence& evidence, const base::host_id& host, base::time_point now) {
    evidence.failing_at[host] = now;
    if (evidence.witness && evidence.witness->host == host)
        evidence.witness.reset();
}

void record_span(outage_evidence& evidence, const outage_options& options, const base::host_id& host,
                 const served_span& span) {
    const bool is_later = !evidence.witness || evidence.witness->until < span.until;
    if (covers_window(options, span) && is_later)
        evidence.witness = {.host = host, .until = span.until};
}

bool was_store_away(const outage_evidence& evidence, const outage_options& options, std::size_t other_hosts,
                    base::time_point now) {
    if (is_refuted(evidence, options, now))
        return false;
    const bool has_failed_here = evidence.own_failed_at && now - *evidence.own_failed_at <= options.window;
    if (has_failed_here && other_hosts == 0)
        return true;
    const auto others = std::ranges::count_if(
        evidence.failing_at, [&](const auto& item) { return now - item.second <= options.window; });
    static constexpr int hosts_to_believe = 2;
    return others + (has_failed_here ? 1 : 0) >= hosts_to_believe;
}

} // namespace postpaddle::host
