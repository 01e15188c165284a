// SPDX-License-Identifier: BSD-2-Clause
#include <host/adaptive_timeout.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

constexpr std::chrono::milliseconds max_timeout{6'000};

} // namespace

void did_answer(adaptive_timeout& timeout) { timeout.limit = timeout.initial; }

void did_time_out(adaptive_timeout& timeout) { timeout.limit = std::min(max_timeout, timeout.limit * 2); }

} // namespace postpaddle::host
