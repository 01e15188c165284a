// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

/// What an engine says of itself; always some time old.
struct load_report {
    int active_decodes = 0;
    int waiting_decodes = 0;
    int decode_places = 0; ///< 0 where the engine does not say.
    int queued_prompt_tokens = 0;
    bool is_draining = false;

    bool operator==(const load_report&) const = default;
};

} // namespace postpaddle::decision
