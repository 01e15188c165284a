// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/choice_context.h>
#include <decision/instance_table.h>

#include <optional>

namespace postpaddle::decision {

/// When requests may be sent to a service none of whose upstreams may be sent one now.
struct send_slots {
    base::time_point first{};
    base::duration spacing{}; ///< Between further requests.

    bool operator==(const send_slots&) const = default;
};

/// The next send slot of the context's service; none if none of its upstreams becomes available by time
/// alone.
[[nodiscard]] std::optional<send_slots> next_send_slot(const instance_table& table,
                                                       const choice_context& context);

} // namespace postpaddle::decision
