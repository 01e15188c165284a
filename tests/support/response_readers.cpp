// SPDX-License-Identifier: BSD-2-Clause
#include <support/response_readers.h>

#include <wire/bounded_response.h>

namespace postpaddle::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_body_bytes = 64UL * 1024;

} // namespace

wire::expected<std::string> body_of(wire::expected<wire::http_response> response) {
    if (!response)
        return tl::make_unexpected(std::move(response).error());
    return std::move(response->body);
}

std::vector<response_reader> response_readers() {
    return {
        {"of calls and peers' orders",
         [](wire::connection_pool& pool, const std::string& address, const wire::http_request& request,
            wire::yield_context yield) { return body_of(wire::fetch(pool, address, request, 5s, yield)); }},
        {"of the store and of peers",
         [](wire::connection_pool& pool, const std::string& address, const wire::http_request& request,
            wire::yield_context yield) {
             return body_of(
                 wire::fetch_large(pool, address, request, {.head_timeout = 5s, .stall_timeout = 5s}, yield));
         }},
        {"of reports",
         [](wire::connection_pool& pool, const std::string& address, const wire::http_request& request,
            wire::yield_context yield) {
             return body_of(wire::fetch_bounded(pool, address, request,
                                                {.timeout = 5s, .body_bytes = max_body_bytes}, yield));
         }},
        {"of upstreams and of forwarding hosts, part by part",
         [](wire::connection_pool& pool, const std::string& address, const wire::http_request& request,
            wire::yield_context yield) -> wire::expected<std::string> {
             const auto deadline = base::boot_clock::now() + 5s;
             auto open = wire::open_exchange(
                 pool, address, request, wire::connection_use::may_reuse,
                 {.deadline = deadline, .on_stale = wire::stale_connection_policy::fail},
                 [](const std::shared_ptr<wire::upstream_connection>& /*connection*/) {}, yield);
             if (!open)
                 return tl::make_unexpected(std::move(open).error());
             return wire::read_bounded_body(*open->call, max_body_bytes, deadline, yield);
         }}};
}

} // namespace postpaddle::test
