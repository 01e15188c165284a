// SPDX-License-Identifier: BSD-2-Clause
#include <wire/peer_client.h>

#include <wire/http_client.h>
#include <wire/json_rpc.h>

namespace postpaddle::wire {

namespace {

constexpr int ok_status = 200;

} // namespace

peer_client::peer_client(asio::io_context& context, std::string token)
    : pool(context, response_bounds{}), token(std::move(token)) {}

expected<std::string> peer_client::call(const std::string& address, const std::string& method,
                                        const std::string& payload, std::chrono::milliseconds timeout,
                                        yield_context yield) {
    // The transport may suspend the coroutine. To libjsonrpccpp it is an ordinary blocking call.
    const json_rpc_transport transport = [&](const std::string& message, std::string& response) {
        this->traffic += message.size() + 2 * http_head_bytes;
        // Responses with settings may be large.
        auto answer = fetch_large(this->pool, address,
                                  json_request("/rpc", message, {{peer_token_header, this->token}}),
                                  {.head_timeout = timeout, .stall_timeout = timeout}, yield);
        if (!answer || answer->status != ok_status)
            return false;
        this->traffic += answer->body.size();
        response = std::move(answer->body);
        return true;
    };
    std::string result;
    std::string error;
    if (!json_rpc_call(transport, method, payload, result, error))
        return tl::make_unexpected(wire_error{wire_failure::refused, error});
    return result;
}

} // namespace postpaddle::wire
