// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/collected_data.h>

#include <cstdint>
#include <memory>

namespace postpaddle::gateway {

/// What this host collects of messages, apart for each direction, so that upstreams which send without end
/// leave the room of callers' requests alone.
struct collected_bodies {
    /// The bounds apply to each.
    explicit collected_bodies(std::uint64_t share)
        : collected_bodies(wire::collected_data_options{.share = share}) {}
    explicit collected_bodies(const wire::collected_data_options& options)
        : answers(options), requests(std::make_shared<wire::collected_data>(options)) {}

    wire::collected_data answers; ///< Of upstreams and other hosts.
    /// Of callers and other hosts, at all ports: heads, framing and bodies as they arrive, and whole
    /// requests.
    std::shared_ptr<wire::collected_data> requests;
};

} // namespace postpaddle::gateway
