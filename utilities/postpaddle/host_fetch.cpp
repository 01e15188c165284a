// SPDX-License-Identifier: BSD-2-Clause
#include <postpaddle/host_fetch.h>

#include <wire/http_client.h>

namespace postpaddle::utility {

namespace {

constexpr auto request_timeout = std::chrono::seconds(5);
constexpr int ok_status = 200;

} // namespace

tl::expected<std::string, std::string> fetch_from_host(const std::string& address, const std::string& token,
                                                       const std::string& target) {
    wire::asio::io_context context{1};
    wire::connection_pool pool(context, wire::response_bounds{});
    tl::expected<std::string, std::string> result = tl::make_unexpected(address + " does not answer");
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        const auto request =
            wire::get_request(target, {{"Host", address}, {"Authorization", "Bearer " + token}});
        auto response = wire::fetch(pool, address, request, request_timeout, yield);
        context.stop(); // Pending timeout timers would keep the context running.
        if (!response)
            return;
        if (response->status == ok_status)
            result = std::move(response->body);
        else
            result = tl::make_unexpected(address + ": " + response->body);
    });
    context.run();
    return result;
}

} // namespace postpaddle::utility
