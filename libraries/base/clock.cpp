// SPDX-License-Identifier: BSD-2-Clause
#include <base/clock.h>

#include <ctime>

namespace postpaddle::base {

boot_clock::time_point boot_clock::now() noexcept {
    timespec read{};
    (void)clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

time_point system_clock_source::now() const { return boot_clock::now(); }

wall_time system_clock_source::wall_now() const { return std::chrono::system_clock::now(); }

} // namespace postpaddle::base
