// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router_state.h>

namespace postpaddle::decision {

/// Prefill engine of the baseline policies: in turn, or the least reported load.
[[nodiscard]] engine_index baseline_prefill(router_state& state, deployment_state& deployment,
                                            base::time_point now);

/// Decode engine of the baseline policies, chosen only once the prefill is done.
[[nodiscard]] engine_index baseline_decode(router_state& state, deployment_state& deployment,
                                           engine_index excluded, base::time_point now);

} // namespace postpaddle::decision
