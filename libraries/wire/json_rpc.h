// SPDX-License-Identifier: BSD-2-Clause
// NOTE: This header is also compiled as C++14; see CMakeLists.txt.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace postpaddle {
namespace wire {

/// Handles JSON-RPC 2.0 requests with libjsonrpccpp. The transport is up to the caller of `respond`.
class json_rpc_server {
public:
    /// Maps the JSON text of a method's `payload` to the JSON text of its result.
    using method = std::function<std::string(const std::string&)>;

    explicit json_rpc_server(const std::map<std::string, method>& methods);
    json_rpc_server(const json_rpc_server&) = delete;
    json_rpc_server(json_rpc_server&&) = delete;
    json_rpc_server& operator=(const json_rpc_server&) = delete;
    json_rpc_server& operator=(json_rpc_server&&) = delete;
    ~json_rpc_server();

    /// Returns the JSON text of the response to a request's JSON text.
    std::string respond(const std::string& request);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

/// Sends a request's text and stores the response's text. Returns false on failure.
using json_rpc_transport = std::function<bool(const std::string&, std::string&)>;

/// Calls a method with `payload`. Returns false and sets `error` on failure.
bool json_rpc_call(const json_rpc_transport& transport, const std::string& method, const std::string& payload,
                   std::string& result, std::string& error);

} // namespace wire
} // namespace postpaddle
