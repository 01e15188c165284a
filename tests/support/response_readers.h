// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/http_client.h>

#include <functional>
#include <string>
#include <vector>

namespace postpaddle::test {

/// A way in which hosts read a response; returns its body.
struct response_reader {
    const char* name;
    std::function<wire::expected<std::string>(wire::connection_pool&, const std::string& address,
                                              const wire::http_request&, wire::yield_context)>
        read;
};

[[nodiscard]] wire::expected<std::string> body_of(wire::expected<wire::http_response> response);

/// All ways.
[[nodiscard]] std::vector<response_reader> response_readers();

} // namespace postpaddle::test
