// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router_state.h>

namespace postpaddle::decision {

/// Selects a prefill engine by the baseline policy, round robin or least load.
[[nodiscard]] engine_index baseline_prefill(router_state& state, deployment_state& deployment,
                                            base::time_point now);

/// Selects a decode engine by the baseline policy, after the prefill has ended.
[[nodiscard]] engine_index baseline_decode(router_state& state, deployment_state& deployment,
                                           engine_index excluded, base::time_point now);

} // namespace postpaddle::decision
