// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/peers/peer_datagrams.h>
#include <gateway/store_sync/store_update_message.h>
#include <host/clock_bounds.h>
#include <host/recent_changes.h>
#include <host/store_leadership.h>

#include <functional>

namespace postpaddle::gateway {

/// Progress of this host on one topic of the store, and whether it leads or follows.
struct topic_progress {
    bool has_offset = false; ///< Whether to read from `next_offset`; otherwise the whole topic is read.
    std::uint64_t next_offset = 0;
    host::store_leadership leadership;
    bool is_read_here = true; ///< False while this host follows other hosts.
};

/// Sends updates on what this host knows of the store to its cell and to hosts that ask, and applies updates
/// from other hosts.
///
/// With two leaders per cell, a host's calls to the store do not grow with the number of hosts. When all of
/// 295 hosts read for themselves, the calls to the store were the largest cost of a day.
class store_updates {
public:
    struct callbacks {
        /// A host sent an update whose age can't be told, as it has not answered a question yet.
        std::function<void(const base::host_id&)> on_undated_update;
        /// An update did not fit to what is known here.
        std::function<void()> on_gap;
    };

    store_updates(gateway_state& state, peer_datagrams& datagrams, topic_progress& settings,
                  topic_progress& registry);

    /// Starts receiving and, while this host reads the store, sending updates.
    void start(callbacks update_handlers);
    /// Whether updates of other hosts reach this one.
    [[nodiscard]] bool can_receive() const { return this->datagrams->is_open(); }
    /// Whether this host should read the topic now; otherwise it follows others.
    [[nodiscard]] bool must_read(topic_progress& topic, std::chrono::milliseconds bound);
    /// Call after a successful read: sends the time up to which the store is known.
    void did_read();
    /// Call after reading registry changes from `since` up to the current offset: sends them.
    void did_read_changes(std::uint64_t since, const std::vector<decision::registry_change>& changes);
    /// Call after reading the whole registry: individual changes before it are unknown.
    void did_read_snapshot() { this->recent.runs.clear(); }
    /// Answers a host with what it lacks, as far as this host still has the changes.
    void answer(const store_query& query);
    /// Takes over the whole registry from another host, unless it is older than what is known here. Returns
    /// whether it was taken over.
    bool take_over(const ports::registry_page& page, base::time_point known_until);

private:
    void set_reads_store(bool reads_store);
    bool handle(std::string_view bytes);
    /// Turns the ages of an update into times of this host's clock that are certainly not too late.
    void date(store_update& update);
    void apply_settings_update(const store_update& update);
    void apply_registry_update(const store_update& update);
    void record_doubt(const store_update& update);
    [[nodiscard]] bool may_send() const;
    [[nodiscard]] store_update make_update(const host::change_run& run) const;
    /// Sends the run to these hosts, in as many datagrams as it takes.
    void send_to(const std::vector<std::string>& addresses, const host::change_run& run,
                 std::optional<std::chrono::milliseconds> in_reply_to);
    void send_to_cell(const host::change_run& run);
    [[nodiscard]] base::duration interval() const;
    void schedule_update();

    gateway_state* state;
    peer_datagrams* datagrams;
    topic_progress* settings;
    topic_progress* registry;
    callbacks handlers;
    wire::boot_timer timer;
    host::recent_changes recent;        ///< Changes that another host may have missed.
    host::clock_bounds clocks;          ///< Of the hosts that answered a question.
    std::uint64_t reported_version = 0; ///< Newest settings version that a leader has reported.
};

} // namespace postpaddle::gateway
