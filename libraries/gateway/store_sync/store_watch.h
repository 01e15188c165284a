// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/store_sync/anti_entropy.h>
#include <gateway/store_sync/store_updates.h>
#include <host/store_reader.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace postpaddle::gateway {

/// Keeps this host's settings and registry in step with the platform's store: by long-polling reads while the
/// store answers, by short probes while it does not or, in a large cell, by following updates from the cell's
/// leaders.
class store_watch {
public:
    struct callbacks {
        /// Newer settings or zone records were applied.
        std::function<void()> on_new_settings;
        /// The store does not answer: another host may know newer settings.
        std::function<void()> on_settings_unavailable;
        /// The store does not answer: another host may know the registry.
        std::function<void(wire::yield_context)> on_registry_unavailable;
    };

    store_watch(gateway_state& state, ports::control_feed& feed, peer_datagrams& datagrams,
                callbacks handlers);

    /// Starts the coroutines; they run as long as the process.
    void start();

private:
    /// One topic of the store and the state of its reads.
    struct topic {
        topic(wire::asio::io_context& context, const char* name) : name(name), wake(context) {}

        const char* name;
        host::store_reader reader;
        wire::boot_timer wake; ///< Cancelled when a read ends.
        topic_progress progress;
        base::time_point history_lost_at{}; ///< When the store last said that its history is gone.
    };
    /// What a read that failed began with.
    struct read_start {
        base::time_point began{};
        bool waits_for_record = false;
    };
    enum class read_outcome {
        records,     ///< The page ends with the store's newest record.
        part,        ///< The store has further records.
        nothing_new, ///< The page is empty.
        listing,     ///< The newest record of each key, which may be behind the log.
    };
    using read_result = ports::feed_result<read_outcome>;
    using read_function = read_result (store_watch::*)(const ports::read_timeouts&, wire::yield_context);

    void watch_settings(wire::yield_context yield);
    void watch_registry(wire::yield_context yield);
    /// Reads the topic if it is this host's task, otherwise waits before checking again.
    void read_or_follow(topic& read, std::chrono::milliseconds bound, read_function function,
                        wire::yield_context yield);
    /// Starts a read if one is due, then waits until a read ends or the next check.
    void run_due_reads(topic& read, read_function function, wire::yield_context yield);
    /// Executes one read.
    void run_read(topic& read, read_function function, host::store_read plan, wire::yield_context yield);
    /// Call when a read was answered with what was asked for.
    void did_answer(topic& read, read_outcome outcome, const host::store_read& plan, base::time_point began,
                    wire::yield_context yield);
    /// Call when a read has ended otherwise.
    void did_fail(topic& read, const ports::feed_error& error, const host::store_read& plan,
                  const read_start& start, wire::yield_context yield);
    /// Closes a read to which the store was there.
    void did_regain(topic& read, const host::store_read& plan, base::time_point began);
    /// Records what a read of the registry proves.
    void record_ending(const topic& read, host::read_ending ending);
    /// Records that all that the store had in the registry at that time is known.
    void did_learn(base::time_point until);
    /// Records that the store is there, but has not told all that it has.
    void record_uninformed();
    /// Call when the store has dropped records that were to be read.
    void did_lose_history(topic& read, std::uint64_t first_kept, wire::yield_context yield);
    /// Updates whether the last listing is confirmed.
    void update_listing();
    /// Whether other hosts may still confirm the last listing, which saves a call to the store.
    [[nodiscard]] bool is_confirmation_pending(std::chrono::milliseconds bound) const;
    /// Whether records of the registry may be unknown here that neither the log nor the last listing has.
    [[nodiscard]] bool has_gap() const { return this->registry.progress.next_offset < this->log_begin; }
    [[nodiscard]] static read_outcome outcome_of(bool is_empty, bool has_more);
    /// Records that every record which the store had at some time of the read is known now.
    void did_reach_end(topic& read, read_outcome outcome, const host::store_read& plan,
                       base::time_point began);
    /// Call when a part of a response has arrived.
    void did_arrive(topic& read, host::store_read& plan);
    /// Call when a read has ended, so that the next one can start.
    void did_end(topic& read);
    [[nodiscard]] read_result read_settings(const ports::read_timeouts& timeouts, wire::yield_context yield);
    [[nodiscard]] read_result read_registry(const ports::read_timeouts& timeouts, wire::yield_context yield);
    /// Reads the newest record of each upstream.
    [[nodiscard]] read_result list_registry(const ports::read_timeouts& timeouts, wire::yield_context yield);
    /// Records that everything up to the end of a page is known, which was read from that offset on.
    void did_read_log(std::uint64_t from, const ports::registry_page& page);
    /// Waits after a read, so that records written together are read together.
    void pause_after_changes(wire::yield_context yield);
    void log_unreadable_settings(const ports::unreadable_settings& record);
    void log_unreadable_entries(const std::vector<base::upstream_id>& ids);
    void log_unavailable(const topic& read, const ports::feed_error& error, host::read_ending ending);
    void pause(base::duration length, wire::yield_context yield);

    gateway_state* state;
    ports::control_feed* feed;
    callbacks handlers;
    topic settings;
    topic registry;
    /// Whether the registry was last read as a listing, which no read of the log has confirmed yet.
    bool is_listing_unconfirmed = false;
    /// First record of the registry's log that the store kept when it dropped others that were to be read.
    /// Until a listing or another host's changes reach it, records before it may be unknown here.
    std::uint64_t log_begin = 0;
    std::uint64_t read_after_gap = 0; ///< Offset after the last record that was read behind such a gap.
    base::time_point listed_at{};     ///< When the last listing was read.
    base::time_point listing_due{};   ///< When to read the next listing while there is such a gap.
    store_updates updates;
    anti_entropy queries;
    std::optional<std::uint64_t> unreadable_settings_logged; ///< Offset of the last one logged.
    std::set<base::upstream_id> unreadable_entries_logged;
};

} // namespace postpaddle::gateway
