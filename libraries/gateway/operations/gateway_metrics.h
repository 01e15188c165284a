// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace postpaddle::gateway {

/// Upper bounds of the latency histogram buckets, in seconds. The last bucket is unbounded.
inline constexpr std::array<double, 11> latency_bounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                          0.3,   0.5,  0.9,   2,    5};

struct latency_histogram {
    std::array<std::uint64_t, latency_bounds.size() + 1> counts{};
    double sum_seconds = 0;
};

/// A label's value as the text format writes it: quoted, with what would end it escaped. For names that come
/// from outside.
[[nodiscard]] std::string quoted_label(std::string_view value);

/// Counters, gauges and histograms of a gateway host. Not thread-safe.
class gateway_metrics {
public:
    /// Adds to a counter. The name includes the labels, e.g. `sends_total{result="answered"}`.
    void count(const std::string& name, std::uint64_t amount = 1) { this->counters[name] += amount; }
    /// Counters whose names begin with the prefix.
    [[nodiscard]] std::map<std::string, std::uint64_t> counters_with(const std::string& prefix) const;
    void set(const std::string& name, double value) { this->gauges[name] = value; }
    /// Raises a gauge to at least this value.
    void set_max(const std::string& name, double value);
    /// Adds a latency to a histogram.
    void observe(const std::string& name, base::duration latency);
    /// Prometheus text exposition format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, latency_histogram> histograms;
};

} // namespace postpaddle::gateway
