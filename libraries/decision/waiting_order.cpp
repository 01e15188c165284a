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

bool goes_before(const waiter& left, const waiter& right, base::duration in_time) {
    const bool is_left_in_time = left.waited <= in_time;
    const bool is_right_in_time = right.waited <= in_time;
    if (is_left_in_time != is_right_in_time)
        return is_left_in_time;
    if (is_left_in_time && left.output_tokens != right.output_tokens)
        return left.output_tokens < right.output_tokens;
    return left.waited > right.waited;
}

} // namespace postpaddle::decision
