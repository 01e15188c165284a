// SPDX-License-Identifier: BSD-2-Clause
#include <wire/connection_places.h>

#include <tuple>

namespace postpaddle::wire {

namespace {

/// Whether `left` gives way before `right`.
bool gives_way_before(const place_holder& left, const place_holder& right) {
    return std::tuple(left.was_served, right.source_places, left.last_arrival) <
           std::tuple(right.was_served, left.source_places, right.last_arrival);
}

} // namespace

std::optional<std::size_t> choose_to_give_way(const std::vector<place_holder>& holders) {
    std::optional<std::size_t> chosen;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        if (holders[index].is_serving)
            continue;
        if (!chosen || gives_way_before(holders[index], holders[*chosen]))
            chosen = index;
    }
    return chosen;
}

} // namespace postpaddle::wire
