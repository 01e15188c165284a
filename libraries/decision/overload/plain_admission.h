// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/admission.h>
#include <decision/attempt_rules.h>
#include <decision/instance_choice.h>
#include <decision/overload/plain_load.h>
#include <decision/overload/queue_position.h>

#include <functional>
#include <optional>
#include <random>
#include <vector>

/// Decides from the loads of plain upstreams whether a request is sent now, waits on this host or is refused.
namespace postpaddle::decision {

/// Requests of a service that may be ahead of a waiting one on a host. Bounds the host's memory.
inline constexpr int max_plain_waiting = 128;

/// Whether requests to the service are admitted by load: a listed upstream reported its relative latency, and
/// none last reported a load without it. Those that have not reported yet don't count.
[[nodiscard]] bool is_admitted_by_load(const instance_table& table, const std::string& service);

/// Ids of the instances of a service.
[[nodiscard]] std::vector<base::upstream_id> members_of(const instance_table& table,
                                                        const std::string& service);

/// The same, for callers that know the service's instances.
[[nodiscard]] bool is_admitted_by_load(const instance_table& table, const std::string& service,
                                       const std::vector<base::upstream_id>& members);

/// Facts about a request to a plain upstream.
struct plain_request {
    base::duration waited{}; ///< Since the caller's first try.
    base::duration latency_target{};
    base::duration time_left{};
    bool may_be_late = false; ///< It is not refused for lateness, see `may_be_late`.
    /// Whether it may wait although it can't be in time: not while the host is stopping.
    bool may_wait_late = true;
    int ahead = 0;             ///< Requests ahead of it in this host's queue.
    base::duration busy_for{}; ///< Since a free slot was last seen at the service's upstreams.
    int competing_hosts = 1;   ///< Hosts with requests for the same upstreams, including this one.

    bool operator==(const plain_request&) const = default;
};

/// Whether a request waits for a free slot although it can't be in time: its caller was refused before and
/// has returned, or an upstream has had it already.
[[nodiscard]] bool may_be_late(const attempt_record& record, bool is_returning);

enum class plain_action {
    choose_without_load, ///< No load is known of an upstream that may be used.
    send,
    wait,
    refuse,
};

/// Why a request is sent, waits or is refused.
enum class plain_reason {
    load_unknown,
    in_time,        ///< Sent, and expected to be in time.
    free_slot,      ///< Sent to a free slot, and expected to be late.
    wait_in_time,   ///< Capacity is expected early enough to be in time.
    wait_late,      ///< It can't be in time, and waits for a free slot.
    not_in_time,    ///< Refused: no capacity is expected early enough to be in time.
    not_before_end, ///< Refused: no slot is expected to be free before the caller's time is up.
    queue_full,     ///< Refused: too many requests wait.
    not_late,       ///< Refused: it can't be in time, and `may_wait_late` is not set.
};

struct plain_decision {
    plain_action action = plain_action::choose_without_load;
    plain_reason reason = plain_reason::load_unknown;
    std::optional<base::upstream_id> upstream; ///< Where to send it.
    double rounds = 1;                         ///< Expected time there relative to that of a request alone.
    base::duration expected_time{};     ///< From sending to the answer, at the chosen or fastest upstream.
    base::duration expected_wait{};     ///< Until it can be sent, with the requests ahead.
    base::duration expected_capacity{}; ///< Until a new request could be sent and be in time.
    base::duration spacing{};           ///< Between two requests that this host may send while all are busy.
    base::duration in_time{};           ///< Longest wait since the first try to still be in time.
    int upstreams = 0;                  ///< That may be used.
    int free_slots = 0;                 ///< Of those.
    int ahead = 0;                      ///< Requests ahead of it in this host's queue.
    bool is_scarce = false;             ///< Fewer requests could be sent and be in time than hosts compete.

    bool operator==(const plain_decision&) const = default;
};

/// Counts the requests ahead of one that can be in time up to that wait since its first try. Its position in
/// the queue depends on the loads, so they are counted within the decision.
using ahead_counter = std::function<int(base::duration in_time)>;

/// Decides about a request now. `context` excludes the upstreams that have refused it.
[[nodiscard]] plain_decision decide_plain(const instance_table& table, const choice_context& context,
                                          const plain_request& request, std::mt19937_64& random);

/// The same, for callers that know the service's instances. `count_ahead`, if set, replaces `request.ahead`.
[[nodiscard]] plain_decision decide_plain(const instance_table& table,
                                          const std::vector<base::upstream_id>& members,
                                          const choice_context& context, plain_request request,
                                          std::mt19937_64& random, const ahead_counter& count_ahead = {});

/// Delay after which a refused caller should return: the time until capacity is expected, spread over 1 to 2
/// times it, and at least half of the latency target, so that other refused callers are served meanwhile. In
/// a long overload at least half of the time since a slot was free, since other hosts have queues too. At
/// most a third of the time left.
[[nodiscard]] base::duration plain_retry_delay(const plain_decision& decision, const plain_request& request,
                                               std::mt19937_64& random);

/// Time until the head of the queue decides again. Random, so that hosts with the same view of the load do
/// not all use the same free slot; all hosts together decide twice as often as slots become free.
[[nodiscard]] base::duration plain_recheck_delay(const plain_decision& decision, std::mt19937_64& random);

/// Probability with which a host that has received a response sends a waiting request at once in place of the
/// one that ended. Below 1 where the host has more than its share of the requests at the service's upstreams,
/// so that hosts without any get slots too.
[[nodiscard]] double replacement_probability(const instance_table& table, const std::string& service,
                                             int competing_hosts);

/// The same, for callers that know the service's instances.
[[nodiscard]] double replacement_probability(const instance_table& table, const std::string& service,
                                             const std::vector<base::upstream_id>& members,
                                             int competing_hosts);

[[nodiscard]] const char* to_text(plain_action action);
[[nodiscard]] const char* to_text(plain_reason reason);

} // namespace postpaddle::decision
