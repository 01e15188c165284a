// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <string>

namespace postpaddle::gateway {

/// The state of the host as JSON, for operators.
[[nodiscard]] nlohmann::json dump_state(const gateway_state& state);

/// JSON for operators as text. Bytes that are not UTF-8 are replaced; callers' request ids may have some.
[[nodiscard]] std::string to_operator_text(const nlohmann::json& value);

/// The metrics of the host as text; sets those that are computed only when they are read.
[[nodiscard]] std::string export_metrics(const gateway_state& state);

} // namespace postpaddle::gateway
