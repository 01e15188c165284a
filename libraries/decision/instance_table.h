// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/departed_starts.h>
#include <decision/estimate.h>
#include <decision/overload/upstream_pace.h>
#include <decision/reachability.h>
#include <decision/stalled_run.h>
#include <decision/start_history.h>
#include <settings/routing_settings.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::decision {

/// Load that an upstream reported in a response.
struct instance_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    int relative_latency_percent = 100; ///< Current processing time relative to the upstream's usual one.
    bool has_relative_latency = false;  ///< Whether the upstream reported the relative latency.

    bool operator==(const instance_load&) const = default;
};

/// Work in progress at an instance.
struct instance_use {
    int requests = 0;
    double memory_tokens = 0; ///< Engine memory that the work occupies or has reserved.
    double prompt_tokens = 0; ///< Prompt tokens that are not prefilled yet.

    bool operator==(const instance_use&) const = default;
};

instance_use& operator+=(instance_use& left, const instance_use& right);
instance_use& operator-=(instance_use& left, const instance_use& right);

/// Registration state of an instance.
enum class listing {
    listed,   ///< In the registry and not leaving.
    leaving,  ///< Announced that it will shut down. Final for this start of the server; a restart is a new
              ///< instance.
    vanished, ///< Its entry was removed while the registry worked normally.
    unlisted, ///< Its entry was removed while the registry was failing; used as a last resort.
};

/// Failure statistics and ejection of an instance.
struct instance_health {
    int failures_in_row = 0;
    base::time_point last_success{}; ///< Last complete response.
    double failure_rate = 0;         ///< Moving average of 0 (success) and 1 (failure).
    base::time_point ejected_until{};
    base::time_point
        out_of_service_until{}; ///< Its port refuses connections or its stage changes until then.
    /// When this host last got no byte of an answer from it; unset since a complete response.
    base::time_point unreached_at{};

    bool operator==(const instance_health&) const = default;
};

/// Rate limit that an upstream advertises in its responses, see upstream_limit.h.
struct advertised_limit {
    std::optional<double> per_second; ///< Requests of all hosts together; unset while there is no limit.
    base::time_point advertised_at{}; ///< When it was last advertised, to any host.
    base::time_point changed{}; ///< When this host's value last changed; unset while no limit was ever known.
    base::time_point advertised_here_at{}; ///< When a response to this host last advertised it.

    bool operator==(const advertised_limit&) const = default;
};

/// A request that this host sent to an instance, or one that ended there.
struct request_change {
    base::time_point at{};
    int change = 0; ///< 1: sent; -1: ended.

    bool operator==(const request_change&) const = default;
};

/// What is known of the load of a plain upstream, see overload/plain_load.h.
struct plain_load {
    instance_load load;             ///< Of the latest response to any host, without the request answered.
    base::time_point observed_at{}; ///< When that response was received.
    bool is_observed_here = false;  ///< That response was received by this host.
    base::host_id observed_by{};    ///< Host that received it, unless it was this one.
    bool excludes_answered = false; ///< Its reports leave out the request that they answer.
    std::optional<bool>
        has_latency; ///< Whether its last report had four figures; unset before the first one.
    std::optional<int>
        queue_limit; ///< Requests that it queues, as its refusals show; unset before the first.
    base::time_point queue_limit_confirmed_at{}; ///< When a refusal last showed it, or it was last raised.
    /// Requests that this host has sent and that have no answer yet. Unlike `instance::own`, without those
    /// whose answer is still being forwarded to the caller.
    int sent_requests = 0;
    std::deque<request_change> own_changes; ///< Of this host, for as long as a load is used; oldest first.

    bool operator==(const plain_load&) const = default;
};

/// One start of a server, as this host sees it.
struct instance {
    settings::upstream_entry entry;
    listing state = listing::listed;
    std::uint64_t offset = 0; ///< Of the newest registry record about it.
    start_history history;    ///< Of this and earlier starts.
    instance_health health;
    instance_use own;       ///< Sent or reserved by this host and not ended.
    instance_use others;    ///< The same for the other hosts, as they report it.
    bool is_remote = false; ///< Belongs to a cell whose hosts do not report their work to this one.
    base::time_point others_reported_at{};    ///< When a host of that cell last reported on it.
    int avoided_by = 0;                       ///< Other hosts that could not reach it recently.
    bool is_out_of_service_elsewhere = false; ///< Another host reports it as out of service.
    estimate latency = make_estimate(0.08);   ///< Seconds to a plain response.
    estimate slowness = make_estimate(1);     ///< Actual over expected prefill time.
    learned_pace pace;                        ///< Merged from the measurements of all hosts.
    base::duration last_queue_time{};         ///< Queue time of this host's last prompt.
    base::time_point queue_time_measured_at{};
    instance_load load;
    int own_requests_at_load = 0; ///< This host's requests there when the load was received.
    base::time_point load_received_at{};
    plain_load plain;
    double unreported_tokens = 0; ///< Memory taken by unreported work, inferred from refusals.
    base::time_point unreported_at{};
    base::time_point cold_until{}; ///< Takes only a limited request rate until then.
    advertised_limit limit;
    base::time_point last_send{};            ///< Last request of any kind from this host.
    base::time_point heard_at{};             ///< When this host last received anything from it.
    stall_history stalls{};                  ///< Of this host's runs there.
    base::time_point leaving_since{};        ///< When a response was first known to announce its shutdown.
    base::time_point announced_leaving_at{}; ///< When a response to this host last announced its shutdown.
    base::time_point backoff_until{};        ///< It asked this host to back off until then.
};

/// A change of a registry entry.
struct registry_change {
    base::upstream_id id;
    std::optional<settings::upstream_entry> entry; ///< None: the entry was removed.
    std::uint64_t offset = 0;

    bool operator==(const registry_change&) const = default;
};

/// Whether the registry works normally at the time of a change.
enum class registry_condition { healthy, failing };

/// Outcome of an attempt at an instance, for its health.
enum class attempt_outcome {
    good,        ///< A complete response.
    busy,        ///< It responded that it did not run the request.
    closed,      ///< It accepts no prompts now: its memory is full of waiting ones, or its stage changes.
    failed,      ///< An error response, or a broken one.
    unreachable, ///< No connection, or no response.
    exited,      ///< Connection refused: its process has exited.
};

struct instance_table {
    std::map<base::upstream_id, instance> by_id;
    departed_starts departed{};          ///< Upstreams that left and are not in `by_id` any more.
    std::set<base::zone_id> evacuated{}; ///< Availability zones whose upstreams get no new work.
    std::map<std::string, service_reachability> reachability{}; ///< This host's own links, by service.
    bool has_unlisted =
        false; ///< Whether any instance may be unlisted; saves a scan on each registry update.
};

/// Effect of a change on the table.
enum class change_effect {
    none,      ///< No effect on requests.
    relisted,  ///< The instance's listing changed.
    restarted, ///< A new start of a server replaced an earlier one with the same id.
};

/// Applies one change. Ignores older records, older heartbeats and records of an earlier start, but for one:
/// a start that announced its shutdown in any record, however old, is leaving for good. A new start replaces
/// the instance and everything known of it. Which start is the later one is up to the log, see
/// `start_history`.
change_effect apply_change(instance_table& table, const registry_change& change,
                           registry_condition condition);

/// All entries of the registry.
struct registry_snapshot {
    std::vector<registry_change> entries;
    std::vector<base::upstream_id> unreadable; ///< Ids of entries that could not be parsed.
    std::uint64_t end = 0;                     ///< Offset after the newest record.
};

/// Applies a snapshot: instances that it does not name, and that were known before its end, have vanished.
/// Instances of unparsable entries remain unchanged. Returns the ids whose listing changed.
std::vector<base::upstream_id> apply_snapshot(instance_table& table, const registry_snapshot& snapshot,
                                              registry_condition condition);

/// Marks unlisted instances as vanished, for when the registry has worked long enough that live instances are
/// listed again. Returns their ids.
std::vector<base::upstream_id> expire_unlisted(instance_table& table);

/// Marks an instance as leaving after it announced its shutdown, whatever its listing; returns whether that
/// is new.
bool record_leaving(instance& target, base::time_point now);

/// Replaces instances that are leaving or have vanished and have no work of this host by tombstones, once the
/// table is large.
void remove_gone(instance_table& table);

/// The instance, or null.
[[nodiscard]] instance* find_instance(instance_table& table, const base::upstream_id& id);

/// Updates the health with the outcome of an attempt. Consecutive failures eject the instance, longer each
/// time.
void record_outcome(instance& target, attempt_outcome outcome, base::time_point now);

/// Records that this host got no byte of an answer. The link may be to blame, or the instance.
void record_unreached(instance& target, base::time_point now);

/// Makes the instances of a service usable again that this host has avoided since `since` only because it got
/// no answer from them. Call when its links work again.
void restore_unreached(instance_table& table, const std::string& service, base::time_point since);

/// Whether this host's failures at the instance are worth reporting to other hosts: it got an answer there,
/// or has reached another instance of the service since.
[[nodiscard]] bool is_failure_credible(const instance_table& table, const instance& target);

/// Number of listed instances of a service.
[[nodiscard]] std::size_t count_listed(const instance_table& table, const std::string& service);

/// Counts a refusal as a failure: the instance had free capacity by its own report. Such an instance fails
/// part of its requests while its health check is good, so others have to be preferred.
void record_spurious_refusal(instance& target);

/// Takes an instance out of service until the given time, which also ejects it: its port refuses connections
/// or its stage changes.
void put_out_of_service(instance& target, base::time_point until);

/// Records that the instance asked this host to back off.
void record_backoff(instance& target, base::duration backoff, base::time_point now);

[[nodiscard]] bool is_backing_off(const instance& target, base::time_point now);

/// Records the load reported in a response.
void record_load(instance& target, const instance_load& load, base::time_point now);

/// Records a refusal despite `free_tokens` of available memory by this host's count: at least that much is
/// taken by unreported work or by an estimate that was too low.
void record_refusal(instance& target, double free_tokens, base::time_point now);

/// Tokens of memory taken by unreported work, decaying after a refusal.
[[nodiscard]] double unreported_memory(const instance& target, base::time_point now);

/// Requests of other hosts there by the last load report, decaying with its age.
[[nodiscard]] double others_requests(const instance& target, base::time_point now);

/// Current processing time relative to the usual one by the last load report, decaying to 1 with its age, as
/// the speed of upstreams that share a machine changes many times a second.
[[nodiscard]] double relative_latency(const instance& target, base::time_point now);

/// Whether this host's failures there have ejected it.
[[nodiscard]] bool is_ejected(const instance& target, base::time_point now);

/// Whether this host knows that its port refuses connections or that its stage changes.
[[nodiscard]] bool is_out_of_service(const instance& target, base::time_point now);

/// Whether the other hosts' work there is known: it is not remote, or was reported on recently.
[[nodiscard]] bool is_load_known(const instance& target, base::time_point now);

/// Other hosts whose word that they could not reach the instance counts here: none, if it is a plain upstream
/// that answered this host a moment ago.
[[nodiscard]] int count_avoiding_hosts(const instance& target, base::time_point now);

/// Whether new work avoids it because of failures seen by this host or by others.
[[nodiscard]] bool is_avoided(const instance& target, base::time_point now);

/// Whether an instance that this host avoids runs and accepts requests for all it knows: it only failed some,
/// or other hosts avoid it.
[[nodiscard]] bool is_last_resort(const instance& target, base::time_point now);

[[nodiscard]] const char* to_text(listing state);

} // namespace postpaddle::decision
