// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <host/answer_patience.h>

#include <functional>

namespace postpaddle::gateway {

/// Keeps this host's beliefs in step with the platform's store: settings by a read that waits, the registry
/// of upstreams by a read now and then.
class store_watch {
public:
    /// `on_new_settings` runs after a version was put in force; `on_registry_lost` while the store does not
    /// answer, so that peers can be asked instead.
    struct callbacks {
        std::function<void()> on_new_settings;
        std::function<void(wire::yield_context)> on_registry_lost;
    };

    store_watch(gateway_state& state, ports::control_feed& feed, callbacks hooks);

    /// Starts the coroutines; they run for as long as the process does.
    void start();

private:
    void watch_settings(wire::yield_context yield);
    void watch_registry(wire::yield_context yield);
    [[nodiscard]] bool read_settings(wire::yield_context yield);
    [[nodiscard]] bool read_registry(wire::yield_context yield);
    void did_fail(const char* what, const ports::feed_error& error);
    void did_answer(const char* what);
    void pause(base::duration length, wire::yield_context yield);

    gateway_state* state;
    ports::control_feed* feed;
    callbacks hooks;
    bool has_settings_offset = false;
    std::uint64_t settings_next = 0;
    bool has_registry_offset = false;
    std::map<std::string, bool> is_lost;                   ///< By what is read.
    std::map<std::string, host::answer_patience> patience; ///< Likewise.
};

} // namespace postpaddle::gateway
