// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <load_driver/load_plan.h>
#include <wire/connection_pool.h>

#include <string>

namespace postpaddle::stand_in {

/// Result of a request.
struct request_result {
    std::string organisation;
    int status = 0;
    std::string outcome;
    bool is_complete = false;   ///< The stream ended normally with the expected text.
    bool is_incorrect = false;  ///< The stream ended normally with another text.
    bool is_cancelled = false;  ///< Cancelled by the driver, as planned.
    double first_token_ms = -1; ///< -1 if no token arrived.
    double per_token_ms = -1;   ///< Mean time between tokens; -1 for fewer than two tokens.
    int tokens = 0;
};

/// Sends a request and reads its response.
[[nodiscard]] request_result send_request(wire::connection_pool& pool, wire::asio::io_context& context,
                                          const load_plan& plan, const planned_request& request,
                                          wire::yield_context yield);

} // namespace postpaddle::stand_in
