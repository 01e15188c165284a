// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/streams/stream_progress.h>
#include <gateway/upstreams/stall_monitor.h>
#include <gateway/upstreams/upstream_exchange.h>

#include <optional>
#include <set>
#include <vector>

namespace postpaddle::gateway {

/// What the next attempt needs, taken before the attempt in progress is given up.
struct next_attempt {
    std::optional<decision::engine_plan> plan; ///< None: another host serves the request.
    std::optional<scoped_instance_use> reservation;
};

/// Watches who answers a streaming request, and claims the next attempt before the one in progress is given
/// up for its silence.
class stream_watch {
public:
    /// Both must outlive the watch.
    stream_watch(gateway_request& request, const stream_progress& progress)
        : request(&request), progress(&progress) {}

    /// Watches the engine's answer to the attempt that is about to be sent.
    void watch_engine(const decision::engine_plan& plan);
    /// Watches the engine that is about to be sent the prompt.
    stall_monitor& watch_prefill(const decision::engine_plan& plan);
    /// Watches the other host's answer.
    void watch_host(const base::host_id& host);
    /// When to look at the answer in progress for the first time.
    [[nodiscard]] answer_wait begin_wait();
    /// Call at each progress of the answer.
    void did_progress();
    /// Call at each part of the answer that is no progress.
    void did_receive_unfinished();
    /// Ends the watch and records it.
    void end(exchange_result& exchange);
    /// Ends the watch of a prompt.
    void end() { this->monitor.reset(); }
    /// When to look at the answer in progress.
    [[nodiscard]] base::time_point look_at() const { return this->answer_deadline; }
    /// Set when the attempt in progress has been given up for it.
    [[nodiscard]] std::optional<next_attempt>& claimed() { return this->claimed_next; }

private:
    /// Takes engines, their capacity and the retry budget for what follows the send of that kind in progress
    /// at the engine, which is left out. Returns false, and takes nothing, if something of it is not to be
    /// had now.
    [[nodiscard]] bool try_claim_next(const base::upstream_id& engine, decision::attempt_kind kind);
    /// The same for another host than these.
    [[nodiscard]] bool try_claim_other_host(const std::set<base::host_id>& excluded);
    /// The engine as the source of an answer, with those that could take the request over.
    [[nodiscard]] stall_source source_of(const base::upstream_id& engine, decision::attempt_kind kind) const;
    /// Other engines that could take the request over from the engine, whether they have room or not. None if
    /// another host would: this host's links are suspected then, and a silence says nothing of engines.
    [[nodiscard]] std::vector<base::upstream_id> other_engines(const base::upstream_id& engine,
                                                               decision::attempt_kind kind) const;
    /// Engines with room for the next attempt, which leaves out the engine and those that are silent as well.
    /// Does not wait.
    [[nodiscard]] std::optional<decision::engine_plan> find_next_plan(const base::upstream_id& engine);
    /// Limits for the silence before the first event of a run.
    [[nodiscard]] stall_limits limits_of_first_event(const decision::engine_plan& plan) const;
    /// Limits for the silence between two events.
    [[nodiscard]] stall_limits limits_of_next_event() const;
    /// The same if another host sends them, which watches the engine by itself.
    [[nodiscard]] stall_limits limits_of_other_host() const;
    /// How long the caller may be kept without an event so that the rest from elsewhere still reaches it.
    [[nodiscard]] base::duration takeover_limit() const;

    gateway_request* request;
    const stream_progress* progress;
    std::optional<stall_monitor> monitor; ///< Of the attempt in progress, if another one may follow.
    std::optional<next_attempt> claimed_next;
    base::time_point answer_deadline{};
};

} // namespace postpaddle::gateway
