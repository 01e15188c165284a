// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/collected_data.h>

#include <cstdint>

namespace postpaddle::gateway {

/// What this host collects of messages, apart for each direction, so that upstreams which send without end
/// leave the room of callers' requests alone.
struct collected_bodies {
    /// `bound` applies to each, in bytes.
    explicit collected_bodies(std::uint64_t bound) : answers(bound), requests(bound) {}

    wire::collected_data answers;  ///< Of upstreams and other hosts.
    wire::collected_data requests; ///< Of callers and other hosts.
};

} // namespace postpaddle::gateway
