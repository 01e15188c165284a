// SPDX-License-Identifier: BSD-2-Clause
#include <host/origin_evidence.h>

namespace postpaddle::host {

std::optional<stream_origin> resolve_origin(const origin_evidence& evidence) {
    // An id names one attempt, so its record can't belong to another stream.
    if (evidence.is_named && evidence.recorded.by_id)
        return evidence.recorded.by_id->software_version.empty() ? std::nullopt : evidence.recorded.by_id;
    if (!evidence.unrecorded)
        return std::nullopt;
    std::set<stream_origin> possible = *evidence.unrecorded;
    // A stream that its caller names and that has no record is not one of those recorded with its content.
    if (!evidence.is_named)
        possible.insert(evidence.recorded.by_content.begin(), evidence.recorded.by_content.end());
    if (possible.size() != 1 || possible.begin()->software_version.empty())
        return std::nullopt;
    return *possible.begin();
}

} // namespace postpaddle::host
