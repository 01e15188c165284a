// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace postpaddle::decision {

/// A caller for whom the host buffers response data.
struct unsent_reader {
    base::organisation_id organisation; ///< Empty if its request names none.
    std::uint64_t bytes = 0;
    base::time_point behind_since{}; ///< When the oldest of these bytes was buffered.
};

/// What the bound of a host is derived from.
struct host_memory {
    std::optional<std::uint64_t> limit_bytes{}; ///< Of the process; nullopt if it has none.
    std::uint64_t connections = 0;              ///< Maximum number of concurrent connections.
};

/// Largest amount of unsent response data on a host, in bytes.
[[nodiscard]] std::uint64_t unsent_bound(const host_memory& memory);

/// An organisation's bound: its equal part of the host's bound among the organisations that hold unsent data.
/// It applies while the host's bound is exceeded, so an organisation may use what others leave.
[[nodiscard]] std::uint64_t organisation_unsent_bound(const std::vector<unsent_reader>& readers,
                                                      std::uint64_t host_bound);

/// Indices of the readers to disconnect so that the rest fits into the host's bound. Each is the one that has
/// been behind longest, of the organisation that holds most at that point. An organisation that holds no more
/// than its bound loses none.
[[nodiscard]] std::vector<std::size_t> readers_to_disconnect(const std::vector<unsent_reader>& readers,
                                                             std::uint64_t host_bound);

} // namespace postpaddle::decision
