// SPDX-License-Identifier: BSD-2-Clause
#include <decision/waiting_order.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// How much a guess counts against the mean.
constexpr double hint_weight = 0.6;

} // namespace

double expected_output(double hint, double mean, double most) {
    double expected = mean;
    if (hint > 0 && mean > 0)
        expected = std::exp(hint_weight * std::log(hint) + (1 - hint_weight) * std::log(mean));
    return most > 0 ? std::min(expected, most) : expected;
}

bool goes_before(base::duration left, base::duration right, base::duration in_time) {
    const bool is_left_in_time = left <= in_time;
    const bool is_right_in_time = right <= in_time;
    if (is_left_in_time != is_right_in_time)
        return is_left_in_time;
    return left > right;
}

} // namespace postpaddle::decision
