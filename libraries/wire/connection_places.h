// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace postpaddle::wire {

/// An open connection, as far as it matters for who gives way to a newcomer.
struct place_holder {
    bool is_serving = false;         ///< A whole request of it is being answered: it keeps its place.
    bool was_served = false;         ///< An earlier request of it was answered.
    std::size_t source_places = 0;   ///< Connections that its source has open.
    base::time_point last_arrival{}; ///< When it last sent anything, or was opened.

    bool operator==(const place_holder&) const = default;
};

/// Index of the connection that gives way to a newcomer: of those that have shown least, one of the source
/// that holds most places, which has been silent for longest. Nothing if all are being served.
[[nodiscard]] std::optional<std::size_t> choose_to_give_way(const std::vector<place_holder>& holders);

} // namespace postpaddle::wire
