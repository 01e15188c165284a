// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <optional>
#include <string>
#include <vector>

namespace postpaddle::gateway {

/// `Retry-After` of a stream that can't go on since this host doesn't know what began it: another may.
inline constexpr base::duration unknown_origin_retry_after = std::chrono::milliseconds(100);

/// Whether the request continues a stream that an earlier attempt began. Then it may only go on at the
/// service and the software version of that attempt.
[[nodiscard]] bool continues_stream(const gateway_request& request);

/// Whether the request is for a stream that may be resumed, and that has no event yet.
[[nodiscard]] bool begins_resumable_stream(const gateway_request& request);

/// Finds out what began the stream that the request continues, and restricts the request to it. Returns why
/// the stream can't go on, null if it can. Call once the route and the organisation are known.
[[nodiscard]] const char* resolve_stream_origin(gateway_request& request, wire::yield_context yield);

/// Why the request, restricted to its stream's software version, can't be served by any upstream now; null if
/// it can be or is not restricted.
[[nodiscard]] const char* reason_without_version(const gateway_request& request);

/// The software versions at which a new stream should begin.
struct version_choice {
    std::vector<std::string> preferred; ///< Most preferred first; others may serve if these have no room.
    std::optional<std::string> only{};  ///< The only one at which it may begin now.
};

/// Where a resumable stream should begin, so that what began it can be derived from its content.
[[nodiscard]] version_choice choose_versions(const gateway_request& request);

/// Call before a run is sent to an upstream of that software version. Writes a record to the journal if the
/// version can't be derived. Returns false if the run must not be sent there: it couldn't be told later where
/// its stream began.
[[nodiscard]] bool prepare_stream_origin(gateway_request& request, const std::string& software_version,
                                         wire::yield_context yield);

/// Call after another host was sent the request: it may have written records of the attempt.
void did_forward_stream(gateway_request& request);

/// Call before the first event of a stream goes to the caller, with the version of the upstream that it came
/// from, empty if unknown. Records it for when the caller returns, at any host.
void record_stream_origin(gateway_request& request, const std::string& software_version,
                          wire::yield_context yield);

/// Writes to the journal what began this host's recent streams at the service, as far as that can no longer
/// be derived. Call when the service's splits have changed.
void record_older_streams(gateway_state& state, const std::string& service);

} // namespace postpaddle::gateway
