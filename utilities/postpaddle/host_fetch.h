// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <tl/expected.hpp>

#include <string>

namespace postpaddle::utility {

/// Body of a host's answer to a GET, or why there is none.
[[nodiscard]] tl::expected<std::string, std::string>
fetch_from(const std::string& address, const std::string& token, const std::string& target);

} // namespace postpaddle::utility
