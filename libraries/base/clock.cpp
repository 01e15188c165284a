// SPDX-License-Identifier: BSD-2-Clause
#include <base/clock.h>

namespace postpaddle::base {

time_point system_clock_source::now() const { return std::chrono::steady_clock::now(); }

wall_time system_clock_source::wall_now() const { return std::chrono::system_clock::now(); }

} // namespace postpaddle::base
