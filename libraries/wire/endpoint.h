// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/wire_error.h>

#include <string>

namespace postpaddle::wire {

/// Endpoint of an IP number and port, `127.0.0.1:80` or `[::1]:80`.
[[nodiscard]] expected<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);

/// The same, as text.
[[nodiscard]] std::string to_text(const asio::ip::tcp::endpoint& endpoint);

} // namespace postpaddle::wire
