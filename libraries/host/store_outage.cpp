// SPDX-License-Identifier: BSD-2-Clause
#include <host/store_outage.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

bool covers_window(const outage_options& options, const served_span& span) {
    return span.until - span.since >= options.window;
}

bool is_refuted(const outage_evidence& evidence, const outage_options& options, base::time_point now) {
    const auto refutes = [&](const served_span& span) {
        return covers_window(options, span) && now - span.until <= options.max_proof_age;
    };
    return refutes(evidence.own) || refutes(evidence.known);
}

bool was_away_here(const outage_evidence& evidence, const outage_options& options, base::time_point now) {
    return evidence.own_absence_at && now - *evidence.own_absence_at <= options.window;
}

void record_present(outage_evidence& evidence, const outage_options& options, base::time_point now) {
    const bool is_continued =
        evidence.own.until != base::time_point{} && now - evidence.own.until <= options.max_proof_age;
    if (!is_continued)
        evidence.own.since = now;
    evidence.own.until = now;
    record_presence(evidence, evidence.own);
}

} // namespace

void record_read(outage_evidence& evidence, const outage_options& options, read_ending ending,
                 base::time_point now) {
    const read_evidence proven = evidence_of(ending);
    switch (proven.proof) {
    case store_proof::present:
        return record_present(evidence, options, now);
    case store_proof::absent:
        // It was there until it said so itself.
        if (proven.subject == read_subject::store && evidence.own != served_span{})
            record_presence(evidence, {.since = evidence.own.since, .until = now});
        evidence.own = {};
        evidence.own_absence_at = now;
        return;
    case store_proof::none:
        return;
    }
}

bool is_absence_told(const outage_evidence& evidence, const outage_options& options, base::time_point now) {
    return was_away_here(evidence, options, now) && evidence.own == served_span{};
}

void record_absence(outage_evidence& evidence, const base::host_id& host, base::time_point now) {
    evidence.absences_told[host] = now;
}

void record_presence(outage_evidence& evidence, const served_span& span) {
    served_span& known = evidence.known;
    const bool do_overlap = span.since <= known.until && known.since <= span.until;
    if (do_overlap)
        known = {.since = std::min(known.since, span.since), .until = std::max(known.until, span.until)};
    else if (known.until < span.until)
        known = span;
}

bool was_store_away(const outage_evidence& evidence, const outage_options& options, std::size_t other_hosts,
                    base::time_point now) {
    if (is_refuted(evidence, options, now))
        return false;
    const bool is_away_here = was_away_here(evidence, options, now);
    if (is_away_here && other_hosts == 0)
        return true;
    const auto others = std::ranges::count_if(
        evidence.absences_told, [&](const auto& item) { return now - item.second <= options.window; });
    static constexpr int hosts_to_believe = 2;
    return others + (is_away_here ? 1 : 0) >= hosts_to_believe;
}

} // namespace postpaddle::host
