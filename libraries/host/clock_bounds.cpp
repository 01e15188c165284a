// SPDX-License-Identifier: BSD-2-Clause
#include <host/clock_bounds.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

using namespace std::chrono_literals;

/// Greatest difference of the rates of two monotonic clocks; quartz clocks stay within a tenth of it.
constexpr double max_drift = 0.001;
/// Stamps are truncated to milliseconds.
constexpr base::duration stamp_resolution = 1ms;

/// The measured bound on the offset, less what the clocks may have drifted apart since.
base::duration offset_at(const clock_bounds::sender& sender, base::time_point now) {
    const double elapsed = base::to_seconds(now - sender.measured_at);
    return sender.min_offset - base::from_seconds(std::max(0.0, elapsed) * max_drift);
}

} // namespace

void record_answer(clock_bounds& bounds, const base::host_id& host, const send_stamp& answered,
                   base::time_point asked, base::time_point now) {
    const base::duration offset = asked.time_since_epoch() - answered.sent - stamp_resolution;
    clock_bounds::sender& known = bounds.senders[host];
    if (known.incarnation == answered.incarnation && offset_at(known, now) >= offset)
        return;
    known = {.incarnation = answered.incarnation, .min_offset = offset, .measured_at = now};
}

std::optional<base::time_point> earliest_send(const clock_bounds& bounds, const base::host_id& host,
                                              const send_stamp& stamp, base::time_point now) {
    const auto found = bounds.senders.find(host);
    if (found == bounds.senders.end() || found->second.incarnation != stamp.incarnation)
        return std::nullopt;
    return base::time_point(offset_at(found->second, now) + stamp.sent);
}

} // namespace postpaddle::host
