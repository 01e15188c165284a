// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>

namespace postpaddle::decision {

/// What a cold upstream bears, and who shares it.
///
/// An upstream that has just started falls over above a few requests a second from all hosts together. Hosts
/// keep to that without a message: where there are no more hosts than requests a second, each takes its whole
/// part; where there are more, a hash of the host's and the upstream's names chooses those that may send, one
/// request a second each. Whoever is cut off, silent or gone, no host takes another's part.
struct warm_up_limit {
    double per_second = 0;  ///< Requests to one cold upstream, of all hosts; 0: as many as to a warm one.
    int hosts = 1;          ///< That may send: no fewer than may be alive.
    std::uint64_t host = 0; ///< Hash of this host's name.

    bool operator==(const warm_up_limit&) const = default;
};

/// An upstream said that it stays cold for so long.
void note_cold(instance& target, base::duration remaining, base::time_point now);

[[nodiscard]] bool is_cold(const instance& target, base::time_point now);

/// Whether this host may send it a request now: it is warm, or cold with a part of this host left.
[[nodiscard]] bool may_send_cold(const instance& target, const warm_up_limit& limit, base::time_point now);

/// This host sends it a request.
void note_cold_send(instance& target, const warm_up_limit& limit, base::time_point now);

} // namespace postpaddle::decision
