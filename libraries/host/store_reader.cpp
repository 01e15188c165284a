// SPDX-License-Identifier: BSD-2-Clause
#include <host/store_reader.h>

#include <algorithm>
#include <utility>

namespace postpaddle::host {

namespace {

using std::chrono::milliseconds;

/// Maximum number of open probes: as many as can start within the longest timeout, so that unanswered
/// probes never block new ones.
constexpr int max_probes = 12;

/// How long the next read may wait for a record.
milliseconds wait_of(const store_reader& reader, base::time_point now) {
    const auto longest = std::chrono::duration_cast<milliseconds>(reader.bound * reader.wait_fraction);
    if (!reader.known_until)
        return longest;
    const base::duration oldest = base::scaled(reader.bound, max_waiting_age_fraction);
    const auto left = std::chrono::floor<milliseconds>(oldest - (now - *reader.known_until));
    return std::clamp(left, milliseconds::zero(), longest);
}

void close_read(store_reader& reader, const store_read& read) {
    if (read.wait > milliseconds::zero())
        reader.is_waiting = false;
    else
        --reader.probes_open;
    if (read.is_arriving)
        --reader.arriving;
}

} // namespace

std::optional<store_read> next_read(store_reader& reader, base::time_point now) {
    if (is_arriving(reader, now))
        return std::nullopt;
    if (!reader.is_unavailable) {
        if (reader.is_waiting)
            return std::nullopt;
        const milliseconds wait = wait_of(reader, now);
        if (std::exchange(reader.is_stale, false) || wait == milliseconds::zero()) {
            if (reader.probes_open > 0)
                return std::nullopt;
            ++reader.probes_open;
            return store_read{milliseconds::zero(), reader.timeout.limit};
        }
        reader.is_waiting = true;
        return store_read{wait, reader.timeout.limit};
    }
    if (now < reader.next_probe || reader.probes_open >= max_probes)
        return std::nullopt;
    ++reader.probes_open;
    reader.next_probe = now + reader.probe_interval;
    return store_read{milliseconds::zero(), reader.timeout.limit};
}

int reads_open(const store_reader& reader) { return reader.probes_open + (reader.is_waiting ? 1 : 0); }

void did_receive_part(store_reader& reader, store_read& read, base::time_point now) {
    if (!std::exchange(read.is_arriving, true))
        ++reader.arriving;
    reader.last_part = now;
}

bool is_arriving(const store_reader& reader, base::time_point now) {
    return reader.arriving > 0 && now - reader.last_part < reader.timeout.initial;
}

bool did_answer(store_reader& reader, const store_read& read, base::time_point began) {
    close_read(reader, read);
    reader.newest_answered_begin = std::max(reader.newest_answered_begin, began);
    did_answer(reader.timeout);
    return std::exchange(reader.is_unavailable, false);
}

bool did_fail(store_reader& reader, const store_read& read, read_failure failure, base::time_point began) {
    close_read(reader, read);
    if (failure == read_failure::no_answer)
        did_time_out(reader.timeout);
    // A later read was answered or an answer is arriving, so this failure says nothing about the store's
    // current state.
    if (began < reader.newest_answered_begin || reader.arriving > 0)
        return false;
    return !std::exchange(reader.is_unavailable, true);
}

} // namespace postpaddle::host
