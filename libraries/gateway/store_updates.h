// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/peer_codec.h>
#include <gateway/peer_datagrams.h>
#include <host/message_delay.h>
#include <host/recent_changes.h>
#include <host/store_leadership.h>

#include <functional>

namespace postpaddle::gateway {

/// Progress of this host on one topic of the store, and whether it leads or follows.
struct topic_progress {
    bool has_offset = false; ///< Whether to read from `next_offset`; otherwise the whole topic is read.
    std::uint64_t next_offset = 0;
    base::time_point known_until{}; ///< By this host's own reads, the store had no newer record at this time.
    host::store_leadership leadership;
    bool is_read_here = true; ///< False while this host follows other hosts.
};

/// Sends updates on what this host has read of the store to its cell, and applies updates from other leaders.
///
/// With two leaders per cell, a host's calls to the store do not grow with the number of hosts. When all of
/// 295 hosts read for themselves, the calls to the store were the largest cost of a day.
class store_updates {
public:
    store_updates(gateway_state& state, peer_datagrams& datagrams, topic_progress& settings,
                  topic_progress& registry);

    /// Starts receiving and, while this host reads the store, sending updates.
    void start();
    /// Whether this host should read the topic now; otherwise it follows others.
    [[nodiscard]] bool must_read(topic_progress& topic, std::chrono::milliseconds bound);
    /// Call after a successful read: sends the time up to which the store is known.
    void did_read();
    /// Call after reading registry changes from `since` up to the current offset: sends them.
    void did_read_changes(std::uint64_t since, const std::vector<decision::registry_change>& changes);
    /// Call after reading the whole registry: individual changes before it are unknown.
    void did_read_snapshot() { this->recent.runs.clear(); }

private:
    void set_reads_store(bool reads_store);
    bool handle(std::string_view bytes);
    void apply_settings_update(const store_update& update);
    void apply_registry_update(const store_update& update);
    void send(const host::change_run& run);
    [[nodiscard]] base::duration interval() const;
    void schedule_update();

    gateway_state* state;
    peer_datagrams* datagrams;
    topic_progress* settings;
    topic_progress* registry;
    wire::boot_timer timer;
    host::recent_changes recent;        ///< Changes that a follower may have missed.
    host::message_delays delays;        ///< Transit times of updates, by leader.
    std::uint64_t reported_version = 0; ///< Newest settings version that a leader has reported.
};

} // namespace postpaddle::gateway
