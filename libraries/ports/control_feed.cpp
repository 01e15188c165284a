// SPDX-License-Identifier: BSD-2-Clause
#include <ports/control_feed.h>

namespace postpaddle::ports {

bool may_have_taken_effect(feed_failure failure) {
    return failure == feed_failure::unreachable || failure == feed_failure::cut ||
           failure == feed_failure::malformed;
}

const char* to_text(feed_failure failure) {
    switch (failure) {
    case feed_failure::unreachable:
        return "unreachable";
    case feed_failure::cut:
        return "cut";
    case feed_failure::rejected:
        return "rejected";
    case feed_failure::unavailable:
        return "turned_away";
    case feed_failure::history_lost:
        return "history_lost";
    case feed_failure::conflict:
        return "outrun";
    case feed_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace postpaddle::ports
