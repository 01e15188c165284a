// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>

namespace postpaddle::utility {

/// Prints the requests that wait at a gateway host as tables, from the host's state: those for the service,
/// or for all services if it is empty. Returns false if the host does not report them, being of an earlier
/// version.
[[nodiscard]] bool print_waiting(std::ostream& out, const nlohmann::json& state, const std::string& service);

} // namespace postpaddle::utility
