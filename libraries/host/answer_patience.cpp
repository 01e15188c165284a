// SPDX-License-Identifier: BSD-2-Clause
#include <host/answer_patience.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

constexpr std::chrono::milliseconds longest{6'000};

} // namespace

void did_answer(answer_patience& patience) { patience = {}; }

void did_time_out(answer_patience& patience) { patience.limit = std::min(longest, patience.limit * 2); }

std::chrono::milliseconds longest_wait(std::chrono::milliseconds bound) {
    static constexpr int parts = 10;
    static constexpr int used_parts = 7;
    return bound * used_parts / parts;
}

} // namespace postpaddle::host
