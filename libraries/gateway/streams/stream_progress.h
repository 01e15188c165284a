// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// How far a streaming request has come.
struct stream_progress {
    decision::prompt_size size;
    base::upstream_id decode_engine; ///< Of the attempt in progress; empty if another host serves it.
    int prompts_sent = 0;            ///< To prefill engines.
    int events_forwarded = 0;
    bool has_started = false; ///< The head and events of the answer have been sent to the client.
};

/// Whether the prompt may be sent to a prefill engine.
[[nodiscard]] bool may_send_prompt(const stream_progress& progress);

/// Memory, in tokens, that the stream takes at its decode engine now.
[[nodiscard]] double memory_of(const gateway_request& request, const stream_progress& progress);

/// Expected time from the next event to the last one.
[[nodiscard]] base::duration time_for_rest(const gateway_request& request, const stream_progress& progress);

} // namespace postpaddle::gateway
