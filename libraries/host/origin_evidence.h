// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/stream_journal.h>

#include <optional>
#include <set>

namespace postpaddle::host {

/// All that is known of what began a stream which its caller continues.
struct origin_evidence {
    /// What a stream with this content can have begun at without a record; nothing if that could be anything.
    std::optional<std::set<stream_origin>> unrecorded;
    /// Of the journal, complete as of the caller's return.
    journal_findings recorded;
    bool is_named = false; ///< Whether the caller names the attempt that brought the first event.
};

/// What began the stream, if nothing else can have.
[[nodiscard]] std::optional<stream_origin> resolve_origin(const origin_evidence& evidence);

} // namespace postpaddle::host
