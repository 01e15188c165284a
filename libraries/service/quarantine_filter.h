// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>
#include <wire/wire_error.h>

#include <optional>
#include <string>

namespace postpaddle::service {

/// Problem for a quarantined request; empty if the request may be sent. Must be called before each attempt,
/// since other requests or hosts may have recorded exits in the meantime.
[[nodiscard]] std::optional<problem_details> quarantine_problem(request_context& context);

/// Called after an attempt failed with `error` before any of the response was received. If the connection
/// broke, connects to the upstream's port once more; if nothing listens there, records in the quarantine
/// that the upstream exited under this request and returns true.
[[nodiscard]] bool detect_upstream_exit(request_context& context, const base::upstream_id& upstream,
                                        const std::string& address, const wire::wire_error& error,
                                        wire::yield_context yield);

} // namespace postpaddle::service
