// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_choice.h>
#include <gateway/gateway_request.h>
#include <gateway/gateway_state.h>

#include <vector>

namespace postpaddle::gateway {

/// Maximum number of processing times per load report: 180 bytes. A host that starts two streams per second
/// measures four engines within the time for which it reports them.
inline constexpr std::size_t max_reported_paces = 12;

/// Processing times to include in this host's load report, newest first: those measured in the last seconds
/// where the engine differs from the others, or did.
[[nodiscard]] std::vector<host::observed_pace> paces_to_report(gateway_state& state);

/// Merges the processing times in another host's report. Must precede `host::apply_report`, as a measurement
/// is repeated in consecutive reports and recognised by the previous one.
void apply_reported_paces(gateway_state& state, const host::load_report& report);

/// Learns the prefill engine's pace from a completed prefill. Must precede `decision::record_prefill`, which
/// moves the mean that the sample is compared with.
void record_prefill_pace(const gateway_request& request, decision::instance& target,
                         const decision::prefill_sample& sample);

/// Learns the decode engine's pace from the mean interval between a stream's events, which began at `begin`.
/// Must precede the update of the service's mean.
void record_decode_pace(const gateway_request& request, const base::upstream_id& engine, double event_seconds,
                        base::time_point begin);

/// Measures this host's own delays, and lets decisions use what was learned about the engines.
class pace_exchange {
public:
    explicit pace_exchange(gateway_state& state) : state(&state), timer(*state.context) {}

    void start();

private:
    void did_fire_timer();
    void apply(base::time_point now);
    [[nodiscard]] base::duration interval() const;

    gateway_state* state;
    wire::boot_timer timer;
    base::time_point applied_at{};
    decision::applied_paces applied; ///< At that time; empty while the exchange is off.
};

} // namespace postpaddle::gateway
