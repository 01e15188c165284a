// SPDX-License-Identifier: BSD-2-Clause
#include <decision/caller_patience.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using std::chrono::milliseconds;

/// A shorter difference may come from the way to this host.
constexpr milliseconds least_difference{200};

milliseconds upper_quartile(const caller_patience& patience) {
    auto values = patience.last;
    const auto count = static_cast<std::ptrdiff_t>(std::min(patience.taken, values.size()));
    const auto end = values.begin() + count;
    const auto quartile = values.begin() + count * 3 / 4;
    std::nth_element(values.begin(), quartile, end);
    return *quartile;
}

} // namespace

void note_time_left(caller_patience& patience, milliseconds left) {
    patience.last[patience.taken % patience.last.size()] = left;
    ++patience.taken;
}

base::duration time_since_first_try(const caller_patience& patience, milliseconds left) {
    if (patience.taken == 0)
        return {};
    const milliseconds difference = upper_quartile(patience) - left;
    return difference < least_difference ? base::duration{} : base::duration(difference);
}

} // namespace postpaddle::decision
