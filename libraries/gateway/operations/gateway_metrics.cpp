// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/operations/gateway_metrics.h>

#include <algorithm>
#include <sstream>

namespace postpaddle::gateway {

namespace {

constexpr const char* prefix = "postpaddle_gateway_";

void write_histogram(std::ostringstream& out, const std::string& name, const latency_histogram& histogram) {
    std::uint64_t total = 0;
    out << "# TYPE " << prefix << name << " histogram\n";
    for (std::size_t index = 0; index < histogram.counts.size(); ++index) {
        total += histogram.counts[index];
        out << prefix << name << "_bucket{le=\"";
        if (index < latency_bounds.size())
            out << latency_bounds[index];
        else
            out << "+Inf";
        out << "\"} " << total << '\n';
    }
    out << prefix << name << "_sum " << histogram.sum_seconds << '\n';
    out << prefix << name << "_count " << total << '\n';
}

} // namespace

std::string quoted_label(std::string_view value) {
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '\\' || character == '"')
            quoted += '\\';
        if (character == '\n')
            quoted += "\\n";
        else
            quoted += character;
    }
    return quoted + '"';
}

void gateway_metrics::observe(const std::string& name, base::duration latency) {
    latency_histogram& histogram = this->histograms[name];
    const double seconds = base::to_seconds(latency);
    const auto bucket = std::ranges::lower_bound(latency_bounds, seconds) - latency_bounds.begin();
    ++histogram.counts.at(static_cast<std::size_t>(bucket));
    histogram.sum_seconds += seconds;
}

void gateway_metrics::set_max(const std::string& name, double value) {
    const auto [gauge, is_new] = this->gauges.try_emplace(name, value);
    gauge->second = std::max(gauge->second, value);
}

std::map<std::string, std::uint64_t> gateway_metrics::counters_with(const std::string& prefix) const {
    std::map<std::string, std::uint64_t> found;
    for (auto each = this->counters.lower_bound(prefix);
         each != this->counters.end() && each->first.starts_with(prefix); ++each)
        found.insert(*each);
    return found;
}

std::string gateway_metrics::text() const {
    std::ostringstream out;
    for (const auto& [name, value] : this->counters)
        out << prefix << name << ' ' << value << '\n';
    for (const auto& [name, value] : this->gauges)
        out << prefix << name << ' ' << value << '\n';
    for (const auto& [name, histogram] : this->histograms)
        write_histogram(out, name, histogram);
    return out.str();
}

} // namespace postpaddle::gateway
