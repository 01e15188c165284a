// SPDX-License-Identifier: BSD-2-Clause
#include <service/metrics.h>

#include <service/request_lifecycle.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <sstream>

namespace postpaddle::service {

namespace {

namespace accumulators = boost::accumulators;
namespace tag = accumulators::tag;

/// Maximum number of organisations with a series of their own; the others share one.
constexpr std::size_t max_series = 200;
constexpr const char* overflow_series = "(others)";
constexpr std::array reported_quantiles = {0.5, 0.95, 0.99};
constexpr std::size_t request_end_count = 5;
constexpr std::array<const char*, request_end_count> end_names = {"whole", "refused", "failed", "unknown",
                                                                  "cancelled"};

/// Summary of durations in seconds. Estimates quantiles by the P-square algorithm, which stores no samples.
class seconds_summary {
public:
    seconds_summary() : values(accumulators::extended_p_square_probabilities = reported_quantiles) {}

    void add(double seconds) { this->values(seconds); }

    void write(std::ostream& out, const std::string& name, const std::string& label) const {
        const auto total = accumulators::count(this->values);
        if (total > 0)
            for (const double quantile : reported_quantiles)
                out << name << "{organisation=\"" << label << "\",quantile=\"" << quantile << "\"} "
                    << accumulators::quantile(this->values, accumulators::quantile_probability = quantile)
                    << '\n';
        out << name << "_sum{organisation=\"" << label << "\"} " << accumulators::sum(this->values) << '\n';
        out << name << "_count{organisation=\"" << label << "\"} " << total << '\n';
    }

private:
    accumulators::accumulator_set<double,
                                  accumulators::stats<tag::count, tag::sum, tag::extended_p_square_quantile>>
        values;
};

struct organisation_series {
    std::array<std::uint64_t, request_end_count> ends{};
    std::uint64_t tokens = 0;
    seconds_summary first_token;
    seconds_summary per_token;
};

template <class Value>
void write_counter(std::ostream& out, const char* name, const char* help, const Value& value) {
    out << "# HELP postpaddle_" << name << ' ' << help << "\n# TYPE postpaddle_" << name
        << " counter\npostpaddle_" << name << ' ' << value << '\n';
}

void write_process(std::ostream& out, const process_counters& counters) {
    write_counter(out, "connections_total", "Callers' connections accepted.", counters.connections);
    write_counter(out, "unauthorised_total", "Requests with a missing or wrong key.", counters.unauthorised);
    write_counter(out, "over_limit_total", "Requests over an organisation's limit.", counters.over_limit);
    write_counter(out, "upstreams_ended_total", "Upstreams that ended under a request.",
                  counters.upstream_exits);
    write_counter(out, "held_requests_total", "Requests refused because upstreams end under them.",
                  counters.quarantined_requests);
    write_counter(out, "ring_full_total", "Requests refused because a ring was full.", counters.ring_full);
    write_counter(out, "slow_readers_total", "Callers given up because they did not read.",
                  counters.slow_readers);
    write_counter(out, "malformed_answers_total", "Upstream answers that could not be read.",
                  counters.malformed_answers);
    write_counter(out, "late_answers_total", "Upstream answers past their limit.", counters.late_answers);
    write_counter(out, "releases_sent_total", "Orders to free engine memory.", counters.releases_sent);
    write_counter(out, "releases_given_up_total", "Holds left to the engine's own time limit.",
                  counters.abandoned_releases);
    write_counter(out, "orphans_cancelled_total", "Holds of dead hosts cancelled.",
                  counters.orphans_cancelled);
    write_counter(out, "claims_total", "Not-repeatable requests that asked for a claim.", counters.claims);
    write_counter(out, "claims_refused_total", "Claims that could not be had.", counters.claims_refused);
    write_counter(out, "log_appends_total", "Appends to the platform's log.", counters.log_appends);
    write_counter(out, "control_bytes_total", "Bytes of control messages sent and received.",
                  counters.control_bytes);
    write_counter(out, "unexpected_events_total", "Events that a request's phase did not expect.",
                  request_lifecycle::unexpected_events());
    out << "# HELP postpaddle_requests_in_progress Requests in progress.\n"
           "# TYPE postpaddle_requests_in_progress gauge\npostpaddle_requests_in_progress "
        << counters.requests_in_progress << '\n';
}

} // namespace

struct metrics::implementation {
    std::map<std::string, organisation_series> series;
};

metrics::metrics() : impl(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::observe(const request_observation& observation) {
    const std::lock_guard lock(this->mutex);
    auto& all = this->impl->series;
    const std::string& name = observation.organisation.value;
    const bool has_room = all.contains(name) || all.size() < max_series;
    organisation_series& series = all[has_room ? name : overflow_series];
    ++series.ends.at(static_cast<std::size_t>(observation.end));
    series.tokens += static_cast<std::uint64_t>(observation.tokens);
    if (observation.has_first_token)
        series.first_token.add(base::to_seconds(observation.first_token));
    if (observation.tokens > 1)
        series.per_token.add(base::to_seconds(observation.per_token));
}

std::string metrics::text() const {
    std::ostringstream out;
    write_process(out, this->counters);
    const std::lock_guard lock(this->mutex);
    out << "# HELP postpaddle_requests_total Ended requests.\n# TYPE postpaddle_requests_total counter\n";
    for (const auto& [name, series] : this->impl->series)
        for (std::size_t end = 0; end < request_end_count; ++end)
            out << "postpaddle_requests_total{organisation=\"" << name << "\",end=\"" << end_names.at(end)
                << "\"} " << series.ends.at(end) << '\n';
    out << "# HELP postpaddle_tokens_total Tokens relayed.\n# TYPE postpaddle_tokens_total counter\n";
    for (const auto& [name, series] : this->impl->series)
        out << "postpaddle_tokens_total{organisation=\"" << name << "\"} " << series.tokens << '\n';
    out << "# HELP postpaddle_first_token_seconds Time to the first token.\n"
           "# TYPE postpaddle_first_token_seconds summary\n";
    for (const auto& [name, series] : this->impl->series)
        series.first_token.write(out, "postpaddle_first_token_seconds", name);
    out << "# HELP postpaddle_per_token_seconds Mean time between a request's tokens.\n"
           "# TYPE postpaddle_per_token_seconds summary\n";
    for (const auto& [name, series] : this->impl->series)
        series.per_token.write(out, "postpaddle_per_token_seconds", name);
    return out.str();
}

} // namespace postpaddle::service
