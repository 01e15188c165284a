// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>

namespace postpaddle::base {

/// Time since the machine started, the time for which it was suspended among it (`CLOCK_BOOTTIME`).
///
/// The standard library's steady clock stands still meanwhile: a host that wakes after five seconds would
/// take its leases, its settings and what others told it for five seconds younger than they are.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept;
};

/// Monotonic time; every deadline and duration in the project is measured with it.
using time_point = boot_clock::time_point;
using duration = boot_clock::duration;
/// Calendar time; only for what people or other hosts read.
using wall_time = std::chrono::system_clock::time_point;

/// Source of time, passed in wherever time matters so that a test can stand still.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(const clock&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    /// Monotonic now.
    [[nodiscard]] virtual time_point now() const = 0;
    /// Calendar now.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// The operating system's clocks.
class system_clock_source final : public clock {
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

/// Seconds as a real number, for rates and estimates.
[[nodiscard]] constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Milliseconds as a real number, for reports.
[[nodiscard]] constexpr double to_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// The duration of a real number of seconds.
[[nodiscard]] constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace postpaddle::base
