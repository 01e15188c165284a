// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <host/store_reader.h>

#include <functional>
#include <memory>

namespace postpaddle::gateway {

/// Keeps this host's beliefs in step with the platform's store: settings and the registry of upstreams, each
/// by reads that wait for a record while the store answers and by short ones while it does not.
class store_watch {
public:
    struct callbacks {
        /// A version was put in force.
        std::function<void()> on_new_settings;
        /// The store does not answer: another host may know newer settings.
        std::function<void()> on_settings_lost;
        /// The store does not answer: another host may know who is in the registry.
        std::function<void(wire::yield_context)> on_registry_lost;
    };

    store_watch(gateway_state& state, ports::control_feed& feed, callbacks hooks);

    /// Starts the coroutines; they run for as long as the process does.
    void start();

private:
    /// One topic of the store and how it is read.
    struct topic {
        topic(wire::asio::io_context& context, const char* name) : name(name), wake(context) {}

        const char* name;
        host::store_reader reader;
        wire::asio::steady_timer wake; ///< Cancelled when a read ends.
        bool has_offset = false;       ///< Whether it may be read from an offset; else all of it is read.
        std::uint64_t next_offset = 0;
    };
    using read_function = std::optional<ports::feed_error> (store_watch::*)(const host::store_read&,
                                                                            wire::yield_context);

    void watch_settings(wire::yield_context yield);
    void watch_registry(wire::yield_context yield);
    /// Begins the reads that are due and waits until one ends or the next is due.
    void keep_reading(topic& read, read_function function, wire::yield_context yield);
    void run_read(topic& read, read_function function, const host::store_read& order,
                  wire::yield_context yield);
    [[nodiscard]] std::optional<ports::feed_error> read_settings(const host::store_read& order,
                                                                 wire::yield_context yield);
    [[nodiscard]] std::optional<ports::feed_error> read_registry(const host::store_read& order,
                                                                 wire::yield_context yield);
    void tell_lost(const topic& read, const ports::feed_error& error);
    void pause(base::duration length, wire::yield_context yield);

    gateway_state* state;
    ports::control_feed* feed;
    callbacks hooks;
    topic settings;
    topic registry;
};

} // namespace postpaddle::gateway
