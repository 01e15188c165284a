// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::wire {

/// Why a caller's connection ended. The first cause counts.
enum class connection_end {
    none,               ///< It is open.
    by_caller,          ///< The caller closed or reset it.
    idle,               ///< No request began within the idle timeout.
    announced,          ///< The last response announced it.
    unannounced,        ///< Closed by this host between two requests.
    unreadable_request, ///< A request that can't be read was answered.
    late_request,       ///< A request took too long to arrive and was answered.
    write_failed,       ///< Writing a response failed: the caller reset it, or can't be reached.
    write_late,         ///< The caller read nothing within the write timeout.
    unsent_bound,       ///< The caller read too slowly: too much of its response was unsent.
    host_unsent_bound,  ///< The caller read too slowly: too much data was unsent to all callers of this host.
    broken_answer,      ///< Aborted, as its response can't be completed.
    gave_way,           ///< No request of it was in progress, and a newcomer needed its place.
    host_stopped,       ///< This host stopped before.
};

[[nodiscard]] const char* to_text(connection_end end);

/// How much of the response to the last request has been handed to the operating system.
enum class response_progress { none, partial, whole };

[[nodiscard]] const char* to_text(response_progress progress);

} // namespace postpaddle::wire
