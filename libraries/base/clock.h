// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>

namespace postpaddle::base {

/// Time since boot, including time spent suspended (`CLOCK_BOOTTIME`).
///
/// The standard library's steady clock stops during suspend, so a resumed host would underestimate the age of
/// its leases, settings and peer reports.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept;
};

/// Monotonic time, used for all deadlines and durations.
using time_point = boot_clock::time_point;
using duration = boot_clock::duration;
/// Calendar time, used only in output for people or other hosts.
using wall_time = std::chrono::system_clock::time_point;

/// Source of time, injected so that tests can control it.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(const clock&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    [[nodiscard]] virtual time_point now() const = 0;
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// The operating system's clocks.
class system_clock_source final : public clock {
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

/// Converts to fractional seconds.
[[nodiscard]] constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Converts to fractional milliseconds.
[[nodiscard]] constexpr double to_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Converts fractional seconds to a duration.
[[nodiscard]] constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// The duration times a factor.
[[nodiscard]] constexpr duration scaled(duration value, double factor) {
    return from_seconds(to_seconds(value) * factor);
}

} // namespace postpaddle::base
