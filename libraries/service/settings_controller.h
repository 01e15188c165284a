// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/control_context.h>
#include <settings/settings_log.h>

namespace postpaddle::service {

/// Names of the log streams of settings changes and of snapshots of the settings state.
inline constexpr const char* settings_stream = "settings";
inline constexpr const char* snapshots_stream = "settings-snapshots";

/// Reads the settings stream, activates accepted changes, and appends snapshots of the settings state to the
/// log.
class settings_controller {
public:
    explicit settings_controller(control_context& control) : control(&control) {}

    /// Starts the coroutines on the control thread.
    void start();
    /// Adopts a peer's state if it is ahead of this host's. Returns whether it was adopted.
    bool adopt(const std::string& encoded_state);
    /// Returns this host's state, encoded for a peer. Empty while the state is incomplete or has no accepted
    /// change.
    [[nodiscard]] std::string encoded_state() const;
    /// Returns whether settings are active and, as far as this host can tell, current.
    [[nodiscard]] bool is_current() const;

private:
    void follow(wire::yield_context yield);
    /// Reads the stream once. Returns false if the log did not respond or no base state is available.
    [[nodiscard]] bool read_once(wire::yield_context yield);
    /// Restores a state to continue from, from the snapshots stream or else from peers. Returns whether one
    /// was found.
    [[nodiscard]] bool restore_base(wire::yield_context yield);
    void write_snapshots(wire::yield_context yield);
    void sync_with_peers(wire::yield_context yield);
    void sync_with_peers_forever(wire::yield_context yield);
    void publish_settings();

    control_context* control;
    settings::log_offset published_revision = 0;
    settings::log_offset snapshot_offset = 0;
    base::time_point snapshot_at{};
};

} // namespace postpaddle::service
