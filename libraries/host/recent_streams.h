// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/stream_journal.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace postpaddle::host {

/// The streams that began through this host and may still be resumed. Those whose origin could be derived
/// when they began are recorded later if that changes. Bounded: beyond `max_streams` the oldest is dropped.
class recent_streams {
public:
    static constexpr std::size_t max_streams = 65'536;

    /// Call when a stream begins, with its record and whether the journal has that.
    void add(const journal_record& record, bool is_journalled, base::time_point now);
    /// The records that the journal lacks and that `is_needed`. They count as journalled from now on.
    [[nodiscard]] std::vector<journal_record>
    take_unrecorded(const std::function<bool(const journal_record&)>& is_needed, base::time_point now);
    [[nodiscard]] std::size_t size() const { return this->streams.size(); }

private:
    struct stream {
        journal_record record;
        bool is_journalled = false;
        base::time_point expires{};
    };

    void remove_expired(base::time_point now);

    std::deque<stream> streams; ///< Oldest first.
};

} // namespace postpaddle::host
