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
    return evidence.witness && now - evidence.witness->span.until <= options.max_proof_age;
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
}

} // namespace

void record_read(outage_evidence& evidence, const outage_options& options, read_ending ending,
                 base::time_point now) {
    switch (evidence_of(ending).proof) {
    case store_proof::present:
        return record_present(evidence, options, now);
    case store_proof::absent:
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
    if (evidence.witness && evidence.witness->host == host)
        evidence.witness.reset();
}

void record_witness(outage_evidence& evidence, const outage_options& options, const outage_witness& told) {
    const auto absence = evidence.absences_told.find(told.host);
    const bool is_outdated = absence != evidence.absences_told.end() && told.span.until <= absence->second;
    const bool is_later = !evidence.witness || evidence.witness->span.until < told.span.until;
    if (!is_outdated && is_later && covers_window(options, told.span))
        evidence.witness = told;
}

std::optional<outage_witness> witness_to_tell(const outage_evidence& evidence, const outage_options& options,
                                              const base::host_id& own) {
    if (covers_window(options, evidence.own))
        return outage_witness{.host = own, .span = evidence.own};
    return evidence.witness;
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
