// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/http_message.h>
#include <wire/wire_error.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace postpaddle::stand_in {

/// One whole HTTP exchange on a connection of its own, for tests and tools.
[[nodiscard]] wire::expected<wire::http_response>
http_exchange(const std::string& address, const wire::http_request& request,
              std::chrono::milliseconds limit = std::chrono::seconds(20));

/// GET whose answer is JSON; null where that failed.
[[nodiscard]] nlohmann::json get_json(const std::string& address, const std::string& target,
                                      const wire::http_headers& headers = {});
/// POST of JSON whose answer is JSON; null where that failed.
nlohmann::json post_json(const std::string& address, const std::string& target, const nlohmann::json& body);

} // namespace postpaddle::stand_in
