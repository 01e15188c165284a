// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

/// Tells the events that bring a stream further from those that don't.
///
/// A server in trouble may send bytes without end that look like events: blank lines, comments, or the same
/// event again and again. They must neither keep a run alive nor reach the caller.
namespace postpaddle::decision {

struct event_progress {
    std::optional<std::uint64_t> last_id; ///< Of the last event that was passed on, by any run.
    std::size_t idle_bytes = 0;           ///< Received since then in other events.

    bool operator==(const event_progress&) const = default;
};

/// What to do with an event.
enum class event_step {
    pass_on, ///< It is the next one.
    skip,    ///< It was passed on before.
    hold,    ///< It has no id. It belongs to the next one that has, or to the end of the stream.
};

/// Records an event of that size.
[[nodiscard]] event_step record_event(event_progress& progress, const std::optional<std::uint64_t>& id,
                                      std::size_t bytes);

/// Whether there are too many bytes in events that bring the stream no further for it to be an answer.
[[nodiscard]] bool is_without_end(const event_progress& progress);

} // namespace postpaddle::decision
