// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace postpaddle::gateway {

/// Upper bounds of the latency histograms' buckets, in seconds; the last bucket has none.
inline constexpr std::array<double, 11> latency_bounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                          0.3,   0.5,  0.9,   2,    5};

/// Latencies of one kind, counted by bucket.
struct latency_histogram {
    std::array<std::uint64_t, latency_bounds.size() + 1> counts{};
    double sum_seconds = 0;
};

/// Counters and histograms of a gateway host. Used by one thread.
class gateway_figures {
public:
    /// Adds to the counter of that name and labels, as `sends_total{result="answered"}`.
    void count(const std::string& name, std::uint64_t amount = 1) { this->counters[name] += amount; }
    /// Sets a gauge.
    void set(const std::string& name, double value) { this->gauges[name] = value; }
    /// Takes a latency into the histogram of that name.
    void observe(const std::string& name, base::duration latency);
    /// Prometheus text, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, latency_histogram> histograms;
};

} // namespace postpaddle::gateway
