// SPDX-License-Identifier: BSD-2-Clause
#include <wire/connection_end.h>

namespace postpaddle::wire {

const char* to_text(connection_end end) {
    switch (end) {
    case connection_end::none:
        return "none";
    case connection_end::by_caller:
        return "by_caller";
    case connection_end::idle:
        return "idle";
    case connection_end::announced:
        return "announced";
    case connection_end::unannounced:
        return "unannounced";
    case connection_end::unreadable_request:
        return "unreadable_request";
    case connection_end::late_request:
        return "late_request";
    case connection_end::write_failed:
        return "write_failed";
    case connection_end::write_late:
        return "write_late";
    case connection_end::unsent_bound:
        return "unsent_bound";
    case connection_end::host_unsent_bound:
        return "host_unsent_bound";
    case connection_end::broken_answer:
        return "broken_answer";
    case connection_end::gave_way:
        return "gave_way";
    case connection_end::host_stopped:
        return "host_stopped";
    }
    return "unknown";
}

const char* to_text(response_progress progress) {
    switch (progress) {
    case response_progress::none:
        return "none";
    case response_progress::partial:
        return "partial";
    case response_progress::whole:
        return "whole";
    }
    return "unknown";
}

} // namespace postpaddle::wire
