// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/caller_connection.h>
#include <wire/http_listener.h>
#include <wire/http_message.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

using json = nlohmann::json;

/// Handles one request: sends the response or closes the connection.
using request_handler =
    std::function<void(const wire::http_request&, wire::caller_connection&, wire::yield_context)>;
/// Called once for each connection when no further request is read from it.
using connection_end_handler = std::function<void(const wire::caller_connection&)>;

/// Listens on 127.0.0.1 and prints `{"port": N}` to standard output. Port 0 lets the system choose. Exits the
/// process if it can't listen.
[[nodiscard]] std::shared_ptr<wire::http_listener> serve(wire::asio::io_context& context, std::uint16_t port,
                                                         const request_handler& handler,
                                                         const connection_end_handler& did_end = {});

/// Likewise on the same port of several addresses. A port that the system chose at the first may be in use at
/// another, then another port is tried.
[[nodiscard]] std::vector<std::shared_ptr<wire::http_listener>>
serve_at_each(wire::asio::io_context& context, const std::vector<std::string>& addresses, std::uint16_t port,
              const request_handler& handler, const connection_end_handler& did_end = {});

[[nodiscard]] wire::http_response json_response(const json& body, int status = 200);
/// Parses the body. Returns an empty object if it is not a JSON object.
[[nodiscard]] json parse_json_body(const wire::http_request& request);
/// Encodes bytes as padded base64 (RFC 4648, section 4).
[[nodiscard]] std::string encode_base64(const std::string& bytes);
/// Value of the first query parameter of that name, form-decoded as servers do; nothing if absent.
[[nodiscard]] std::optional<std::string> find_query_parameter(const std::string& target,
                                                              const std::string& name);
/// The same; empty if absent.
[[nodiscard]] std::string query_parameter(const std::string& target, const std::string& name);
/// Whether a target is path and query of a URI (RFC 3986, sections 3.3 and 3.4). Servers refuse others.
[[nodiscard]] bool is_uri_target(const std::string& target);
/// Stops the context on SIGTERM or SIGINT.
void stop_on_signal(wire::asio::io_context& context);

} // namespace postpaddle::stand_in
