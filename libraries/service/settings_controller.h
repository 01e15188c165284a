// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/control_context.h>
#include <settings/settings_log.h>

namespace postpaddle::service {

/// Names of the streams that settings live in.
inline constexpr const char* settings_stream = "settings";
inline constexpr const char* snapshots_stream = "settings-snapshots";

/// Follows the settings stream, puts what is accepted in force, and keeps snapshots in the log.
class settings_controller {
public:
    explicit settings_controller(control_context& control) : control(&control) {}

    /// Starts following and writing snapshots.
    void start();
    /// Takes a peer's state if that is ahead; says whether it did.
    bool adopt(const std::string& encoded_state);
    /// This host's state for a peer; empty while there is none worth giving.
    [[nodiscard]] std::string encoded_state() const;
    /// Whether settings are in force and known to be current, as far as anybody can know.
    [[nodiscard]] bool is_current() const;

private:
    void follow(wire::yield_context yield);
    /// One read of the stream; false when the log did not answer.
    [[nodiscard]] bool read_once(wire::yield_context yield);
    [[nodiscard]] bool find_base(wire::yield_context yield);
    void write_snapshots(wire::yield_context yield);
    void ask_peers(wire::yield_context yield);
    void ask_peers_forever(wire::yield_context yield);
    void put_in_force();

    control_context* control;
    settings::log_offset published_revision = 0;
    settings::log_offset snapshot_offset = 0;
    base::time_point snapshot_at{};
};

} // namespace postpaddle::service
