// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <tl/expected.hpp>

#include <string>

namespace postpaddle::utility {

/// Response body of a GET request to a host's operators' address, or why the request failed.
[[nodiscard]] tl::expected<std::string, std::string>
fetch_from_host(const std::string& address, const std::string& token, const std::string& target);

} // namespace postpaddle::utility
