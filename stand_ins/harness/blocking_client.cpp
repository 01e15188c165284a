// SPDX-License-Identifier: BSD-2-Clause
#include <harness/blocking_client.h>

#include <wire/asio.h>
#include <wire/http_client.h>

namespace postpaddle::stand_in {

wire::expected<wire::http_response> http_exchange(const std::string& address,
                                                  const wire::http_request& request,
                                                  std::chrono::milliseconds timeout) {
    wire::asio::io_context context{1};
    wire::connection_pool pool(context, wire::response_bounds{});
    wire::expected<wire::http_response> response = tl::make_unexpected(wire::wire_error{});
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        response = wire::fetch(pool, address, request, timeout, yield);
        context.stop(); // Pending timeout timers would keep run() from returning.
    });
    context.run();
    return response;
}

nlohmann::json get_json(const std::string& address, const std::string& target,
                        const wire::http_headers& headers) {
    const auto response = http_exchange(address, wire::get_request(target, headers));
    return response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
}

nlohmann::json post_json(const std::string& address, const std::string& target, const nlohmann::json& body) {
    const auto response = http_exchange(address, wire::json_request(target, body.dump()));
    return response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
}

} // namespace postpaddle::stand_in
