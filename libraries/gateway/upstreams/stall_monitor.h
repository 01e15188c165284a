// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/shared_silence.h>
#include <gateway/gateway_request.h>

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace postpaddle::gateway {

/// What is known of who is to answer a request: an upstream, or another host.
struct stall_source {
    /// When this host last received anything from it, other than for the request.
    std::function<base::time_point()> heard_at;
    std::function<void()> request_sign_of_life; ///< Asks it for an answer of any kind, without waiting.
    std::function<decision::stall_history*()> history; ///< Null if none is kept.
    /// The other upstreams that could take the request over, in the order in which to ask them, which should
    /// differ each time; none where something else would. May be unset.
    std::function<std::vector<base::upstream_id>()> others{};
    /// When this host last received anything from one of these.
    std::function<base::time_point(const base::upstream_id&)> other_heard_at{};
    /// Asks one of these for an answer of any kind, without waiting.
    std::function<void(const base::upstream_id&)> request_sign_of_other{};
};

/// When a silent source is doubted, and what depends on it. Changes with the answer's progress.
struct stall_limits {
    base::duration limit{}; ///< Silence after which the source is doubted.
    /// Silence after which another attempt would come too late for the caller.
    base::duration takeover_limit{};
    decision::ending_alone ending = decision::ending_alone::failure;
};

struct stall_monitor_options {
    stall_limits limits{};
    /// Takes everything that another attempt needs, all of it or nothing. Returns false if something is not
    /// to be had now.
    std::function<bool()> try_claim_next;
};

/// How long a send was silent, and what became of it.
struct stall_record {
    base::duration longest{}; ///< Longest silence.
    bool is_given_up = false; ///< Replaced by another attempt because of its silence.
    bool was_alive = false;   ///< The source showed a sign of life during the last silence beyond the limit.
    bool was_shared = false;  ///< All other upstreams were silent with it at some look.
};

/// Watches a send whose answer may stall, and decides whether to give it up.
///
/// A send is only given up once another attempt has been claimed. Where nothing can be claimed, the request
/// waits for the answer in progress until its deadline.
class stall_monitor {
public:
    /// Other upstreams that are asked for a sign of life at one look, whatever their number.
    static constexpr int max_asked_at_a_look = 4;

    /// `request` must outlive the monitor.
    stall_monitor(gateway_request& request, stall_source source, stall_monitor_options options);

    /// Call when the request is sent and at each progress of its answer. Returns when to look next.
    base::time_point did_progress();
    /// Call at each part of the answer that is no progress, as it completes no event.
    void did_receive_unfinished();
    /// Sets the limits that hold from now on.
    void set_limits(const stall_limits& limits) { this->options.limits = limits; }
    /// Call at that time. Returns when to look again, or nothing if the wait is over: the send has been given
    /// up, or the request's time is up.
    [[nodiscard]] std::optional<base::time_point> look();
    /// Call when the answer has ended otherwise, whole or not.
    void did_end();
    [[nodiscard]] const stall_record& record() const { return this->stalls; }
    /// Other upstreams without a sign of life since the source fell silent, at the last look.
    [[nodiscard]] const std::set<base::upstream_id>& silent_others() const { return this->others_in_silence; }

private:
    /// Looks, and decides.
    [[nodiscard]] std::optional<base::time_point> judge();
    [[nodiscard]] base::duration silence() const;
    /// Looks at the other upstreams, and asks those for a sign of life that were not heard of late.
    [[nodiscard]] decision::other_upstreams look_at_others(base::time_point now);
    /// Notes when the next look is due.
    base::time_point look_at(base::time_point due);
    /// Whether this host has been held up, so that what has arrived meanwhile may not have been read.
    [[nodiscard]] bool should_postpone(base::time_point now);
    /// Records how a silence beyond the limit ended.
    void end_stall(decision::stall_end end);

    gateway_request* request;
    stall_source source;
    stall_monitor_options options;
    base::time_point silent_since{};
    base::time_point look_due{};
    bool is_postponed = false;                        ///< The last look was.
    std::optional<base::time_point> unfinished_since; ///< First such part since the last progress.
    base::duration unfinished{};                      ///< From that part to the last one.
    std::set<base::upstream_id> others_in_silence;
    std::optional<base::time_point> shared_at; ///< Last look at which all of them shared this silence.
    stall_record stalls;
};

/// An upstream as the source of an answer.
[[nodiscard]] stall_source upstream_source(gateway_state& state, const base::upstream_id& id);

/// The same, with those that could take a request over from it.
[[nodiscard]] stall_source upstream_source(gateway_state& state, const base::upstream_id& id,
                                           std::function<std::vector<base::upstream_id>()> others);

/// A source that shows no signs of life beside its answer.
[[nodiscard]] stall_source answer_only_source();

/// Another host, which watches the upstream by itself, as the source of an answer.
[[nodiscard]] stall_source host_source(gateway_state& state, const base::host_id& host);

/// Records that the upstream sent an answer's head, an event or an answer to a call. Bytes that are none of
/// these say nothing of its health.
void record_sign_of_life(gateway_state& state, const base::upstream_id& id);

/// How long a run that resumes elsewhere takes until its first event.
[[nodiscard]] base::duration takeover_time(const gateway_request& request, double prompt_tokens);

} // namespace postpaddle::gateway
