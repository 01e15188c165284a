// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>
#include <wire/wire_error.h>

#include <optional>
#include <string>

namespace postpaddle::service {

/// What a caller is told whose request goes to no further upstream, as upstreams end under it; nothing where
/// it may go on. To be asked before each send.
[[nodiscard]] std::optional<problem_answer> held_problem(request_context& context);

/// A send has failed so before anything of an answer came: where its connection broke, finds out whether the
/// upstream's process has ended under the request, and takes that into the record. Costs a connection for
/// each such break.
[[nodiscard]] bool has_ended_under(request_context& context, const base::upstream_id& upstream,
                                   const std::string& address, const wire::wire_error& error,
                                   wire::yield_context yield);

} // namespace postpaddle::service
