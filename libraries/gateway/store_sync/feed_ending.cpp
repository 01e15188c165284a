// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/feed_ending.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// A timer that fires later than this after its time shows that the process did not run meanwhile.
constexpr base::duration max_timer_delay = 100ms;

host::read_ending ending_without_answer(const failed_read& read) {
    if (read.took > read.limit + max_timer_delay)
        return host::read_ending::ended_too_late;
    return read.waits_for_record ? host::read_ending::lost_wait : host::read_ending::no_answer;
}

} // namespace

host::read_ending ending_of(const failed_read& read) {
    switch (read.failure) {
    case ports::feed_failure::history_lost:
        return host::read_ending::history_lost;
    case ports::feed_failure::rejected:
    case ports::feed_failure::conflict:
        return host::read_ending::rejected;
    case ports::feed_failure::unavailable:
        return host::read_ending::turned_away;
    case ports::feed_failure::malformed:
        return host::read_ending::unreadable;
    case ports::feed_failure::cut:
        return host::read_ending::cut;
    case ports::feed_failure::unreachable:
        break;
    }
    return ending_without_answer(read);
}

} // namespace postpaddle::gateway
