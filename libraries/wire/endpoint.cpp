// SPDX-License-Identifier: BSD-2-Clause
#include <wire/endpoint.h>

#include <boost/lexical_cast.hpp>

namespace postpaddle::wire {

expected<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return tl::make_unexpected(wire_error{wire_failure::bad_address, text});
    std::string address = text.substr(0, colon);
    if (address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    std::uint16_t port = 0;
    if (error || !boost::conversion::try_lexical_convert(text.substr(colon + 1), port))
        return tl::make_unexpected(wire_error{wire_failure::bad_address, text});
    return asio::ip::tcp::endpoint(ip, port);
}

std::string to_text(const asio::ip::tcp::endpoint& endpoint) {
    const std::string address = endpoint.address().to_string();
    const bool is_v6 = endpoint.address().is_v6();
    return (is_v6 ? "[" + address + "]" : address) + ":" + std::to_string(endpoint.port());
}

} // namespace postpaddle::wire
