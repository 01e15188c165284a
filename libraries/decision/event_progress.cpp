// SPDX-License-Identifier: BSD-2-Clause
#include <decision/event_progress.h>

namespace postpaddle::decision {

namespace {

/// As many as an unfinished event may have.
constexpr std::size_t max_idle_bytes = 64UL * 1024;

} // namespace

event_step record_event(event_progress& progress, const std::optional<std::uint64_t>& id, std::size_t bytes) {
    const bool is_next = id && (!progress.last_id || *id > *progress.last_id);
    if (is_next) {
        progress = {.last_id = id};
        return event_step::pass_on;
    }
    progress.idle_bytes += bytes;
    return id ? event_step::skip : event_step::hold;
}

bool is_without_end(const event_progress& progress) { return progress.idle_bytes > max_idle_bytes; }

} // namespace postpaddle::decision
