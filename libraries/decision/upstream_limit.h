// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/shared_rate.h>

namespace postpaddle::decision {

/// Request rate limits that upstreams advertise in their responses, for all hosts together. A limit remains
/// in force until a response to any host carries none. It does not expire, as an upstream that receives no
/// requests can't advertise it again.

/// Applies the limit in a response to a request sent at `sent`; returns whether it changed. A response
/// without a limit is ignored if its request was sent before the limit was last advertised.
bool record_limit(instance& target, std::optional<double> per_second, base::time_point sent,
                  base::time_point now);

/// Applies the limit that another host reports; the newest one wins. Returns whether it changed.
bool receive_limit(instance& target, std::optional<double> per_second, base::time_point advertised_at,
                   base::time_point now);

[[nodiscard]] bool is_limited(const instance& target);

/// Earliest time at which this host may send it a request, `now` or later; none if this host is not a
/// participant. The number of participants grows while the limit is not advertised, as the current ones may
/// have nothing to send.
[[nodiscard]] std::optional<base::time_point>
next_limited_send(const instance& target, const rate_group& group, base::time_point now);

/// Interval between this host's requests while a limit is in force.
[[nodiscard]] base::duration send_interval(const instance& target, const rate_group& group);

} // namespace postpaddle::decision
