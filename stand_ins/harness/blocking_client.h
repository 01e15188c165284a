// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/http_message.h>
#include <wire/wire_error.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace postpaddle::stand_in {

/// Sends a request over a new connection and returns the whole response. Blocks the caller until the response
/// has arrived or `timeout` has passed.
[[nodiscard]] wire::expected<wire::http_response>
http_exchange(const std::string& address, const wire::http_request& request,
              std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// Sends a GET request; returns the response body as JSON, null if the exchange failed.
[[nodiscard]] nlohmann::json get_json(const std::string& address, const std::string& target,
                                      const wire::http_headers& headers = {});
/// Sends a POST request with a JSON body; returns the response body as JSON, null if the exchange failed.
nlohmann::json post_json(const std::string& address, const std::string& target, const nlohmann::json& body);

} // namespace postpaddle::stand_in
