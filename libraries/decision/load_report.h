// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

/// Load reported by an engine.
struct load_report {
    int active_decodes = 0;
    int waiting_decodes = 0;
    int decode_slots = 0; ///< 0 if the engine does not report it.
    int queued_prompt_tokens = 0;
    bool is_draining = false;

    bool operator==(const load_report&) const = default;
};

} // namespace postpaddle::decision
