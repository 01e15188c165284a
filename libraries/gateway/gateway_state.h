// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/caller_timeouts.h>
#include <decision/drain_schedule.h>
#include <decision/instance_table.h>
#include <decision/overload/competing_hosts.h>
#include <decision/overload/plain_admission.h>
#include <decision/overload/rank.h>
#include <decision/overload/upstream_pace.h>
#include <decision/route_table.h>
#include <decision/service_profile.h>
#include <decision/shared_budget.h>
#include <decision/software_versions.h>
#include <decision/warm_up.h>
#include <decision/zone_evacuations.h>
#include <gateway/operations/decision_log.h>
#include <gateway/operations/gateway_metrics.h>
#include <host/cell.h>
#include <host/forwarding_peers.h>
#include <host/limit_clock.h>
#include <host/peer_directory.h>
#include <host/peer_load_table.h>
#include <host/quarantine.h>
#include <host/recent_streams.h>
#include <host/replica_lease.h>
#include <host/shared_limit.h>
#include <host/spreading_limits.h>
#include <host/store_leadership.h>
#include <host/store_outage.h>
#include <ports/control_feed.h>
#include <ports/request_protocol.h>
#include <settings/gateway_settings.h>
#include <wire/connection_pool.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace postpaddle::gateway {

struct gateway_request;

/// Services to which the keys of shares belong, for the services that have engines.
struct share_owners {
    std::vector<std::string> services;
    std::vector<std::pair<host::share_key, std::uint32_t>> service_of; ///< Index in `services`; sorted.
};

/// The routing settings in force on this host.
struct settings_in_force {
    ports::settings_document document;
    decision::route_table routes;
    /// By the key used in load reports; points into `document`.
    std::unordered_map<host::organisation_key, const settings::organisation_entry*> organisation_by_key;
    std::map<std::string, decision::rank_table> ranks; ///< By service.
    share_owners shares;
    std::set<std::string> services_with_priorities; ///< See `decision::services_with_priorities`.
};

/// A request on this host that waits for a slot on an engine.
struct waiting_request {
    base::time_point first_try{};     ///< When the client first sent it.
    double memory_tokens = 0;         ///< Expected use of an engine's KV cache.
    wire::boot_timer* wake = nullptr; ///< Cancelled when the request may have reached the head of the queue.
    base::duration in_time{};         ///< Longest queueing time with which it still meets its latency target.
    std::string service;
    settings::engine_capacity capacity;
    base::time_point arrived{}; ///< This attempt.
    base::duration latency_target{};
    base::duration max_wait{};
    int rank = 0;
    host::share_key share_key = 0;
    const gateway_request* request = nullptr; ///< For operators; set while it is in `waiting`, outlives that.
};

/// Engine memory that this host's requests of an organisation and service occupy or have reserved.
struct share_use {
    int requests = 0;
    double memory_tokens = 0;
};

/// The requests of all hosts that wait for an engine slot of a service, see
/// `gateway/engine_slots/slot_order.h`.
struct ordered_waiters {
    std::optional<decision::wait_queue> queue; ///< Empty if it has to be made again.
    base::time_point made_at{};                ///< The time for which waits are computed.
    std::uint64_t settings_version = 0;
};

/// Keys of the prompts that an engine reported to hold.
struct reported_prompts {
    base::time_point reported_at{};
    std::set<std::string> parts;
};

/// A request that waits until an upstream may be sent it.
struct send_slot_waiter {
    wire::boot_timer* wake = nullptr;
    /// When it may next be sent; those behind it that may be sent earlier overtake it.
    base::time_point due = base::time_point::max();
    decision::queue_position position{};
    const gateway_request* request = nullptr; ///< For operators; outlives the waiter.
};

/// Wait queue of one service.
struct send_slot_queue {
    std::vector<send_slot_waiter*> waiters; ///< In no order, see `decision::is_ahead`.
    base::time_point next_release{};        ///< While slots are scarce: when this host may send the next one.
};

/// What is kept of a service with plain upstreams between two decisions.
struct plain_service {
    std::vector<base::upstream_id> members; ///< Its upstreams, to avoid a scan of the table per decision.
    base::time_point listed_at{};           ///< When they were listed.
    bool is_listed = false;
    base::time_point decided_at{};        ///< Last decision about a request.
    base::time_point free_slot_seen_at{}; ///< When decisions last saw a free slot; smoothed.
};

/// Exchange of the loads of plain upstreams, see `upstream_load_exchange`.
struct plain_load_state {
    base::time_point observed_at{}; ///< When a response to this host last reported a load.
    base::time_point reported_at{}; ///< When loads were last reported to the other hosts.
    /// Until then, requests count as having waited or been refused recently.
    base::time_point pressed_until{};
    decision::competing_hosts competing{}; ///< Other hosts that recently received loads.
    std::function<void()> on_report_due{}; ///< Sends a report soon.
};

/// A request under which an upstream may have exited.
struct accused_request {
    std::string id;                                     ///< For the log.
    std::vector<host::request_fingerprint> part_prints; ///< Of the parts of its prompt.
    base::time_point broken_at{};                       ///< When its connection broke.
    /// Whether the check delays the request's next attempt although it is not suspected yet.
    bool is_awaited = true;
};

/// A check whether an upstream has exited, and the requests whose connections to it broke.
struct exit_check {
    std::map<host::request_fingerprint, accused_request> requests; ///< By fingerprint.
    base::time_point broken_at{};                                  ///< The latest break.
    int looks = 0;                                                 ///< Since an awaited request was added.
    wire::boot_timer* pause = nullptr;                             ///< Cancelled for an earlier look.
};

/// A recently completed request, kept for operators.
struct completed_request {
    std::string id;
    nlohmann::json trace; ///< The same JSON as in its log line.
};

class open_request;
class stream_journal_exchange;
class stream_origin_exchange;
struct collected_bodies;
class unsent_data_bound;
class version_splits;

/// State of a gateway host, shared by its coroutines. Used by one thread only; outlives every coroutine.
struct gateway_state {
    const base::clock* clock = nullptr;
    base::time_point started{};
    /// Wall-clock start time; distinguishes this process from earlier ones of the same host.
    std::uint64_t incarnation = 0;
    wire::asio::io_context* context = nullptr;
    const settings::gateway_settings* process = nullptr;
    ports::request_protocol protocol{};
    std::shared_ptr<const settings_in_force> settings{}; ///< Null until a version is known.
    host::spreading_limits caller_limits{};              ///< See `caller_bounds`.
    std::optional<base::time_point>
        store_transfer_since{}; ///< Set while a read of the store is transferring settings.
    std::optional<base::time_point>
        peer_transfer_since{}; ///< Set while another host is transferring settings.
    decision::instance_table instances{};
    decision::zone_evacuations evacuations{}; ///< As ordered by the operator.
    bool has_registry = false;                ///< Whether the registry has been read at least once.
    std::uint64_t registry_next = 0;          ///< Offset from which to read the registry next.
    std::uint64_t registry_revision = 1;      ///< Incremented on every change to the known registry.
    /// Every record of the registry up to this time is known here.
    base::time_point registry_known_until{};
    /// How the last own read of the registry ended.
    host::read_ending registry_read_ending = host::read_ending::answered;
    /// A read didn't prove that the store is there, and none since has told all that it has, or that it
    /// won't.
    bool is_registry_read_failing = false;
    host::replica_doubt registry_doubt{};        ///< While what is known of the registry is old.
    std::function<void()> on_registry_doubted{}; ///< Asks other hosts for what is new in the registry.
    /// Takes over the registry of another host, which knew it up to that time.
    std::function<void(const ports::registry_page&, base::time_point)> on_registry_received{};
    decision::software_versions software_versions{}; ///< Of each service's upstreams, now and recently.
    stream_origin_exchange* stream_origins = nullptr;
    stream_journal_exchange* stream_journal = nullptr;
    version_splits* splits = nullptr;
    host::recent_streams recent_streams{};               ///< That began through this host.
    std::optional<base::time_point> journal_failed_at{}; ///< When the store last failed to take a record.
    host::outage_evidence registry_outage{};             ///< Of this and the other hosts' reads.
    std::map<std::string, decision::shared_budget> budgets{}; ///< By service.
    host::peer_directory peers{};
    bool has_host_list = false;                ///< The list of hosts has been read from the store.
    host::peer_load_table loads{};             ///< Work in progress on the other hosts.
    host::forwarding_peers forwarding_peers{}; ///< The other hosts as receivers of forwarded requests.
    int forwarded_in_progress = 0;             ///< Requests that other hosts forwarded to this one.
    host::limit_accounts limits{};             ///< Use of the organisations' limits, which all hosts share.
    host::limit_clock limit_clock{};           ///< Clock by which the limits are refilled.
    int hosts_reported = 1;                    ///< Largest number of hosts that another host has reported.
    int participating_hosts = 1;               ///< Hosts that share the limits; updated every second.
    double position_among_hosts = 0;           ///< Position of this host among them, see `rate_group`.
    host::cell_plan cells{};                   ///< Partition of hosts and engines into cells.
    host::cell_position position_in_cell{};    ///< Position of this host in its cell.
    host::quarantine quarantine{};             ///< Requests suspected of crashing upstreams.
    host::quarantine_options quarantine_options{};
    /// Records an observation of this host about a suspected request and sends it to the other hosts.
    std::function<void(const host::suspect_report&)> on_suspect_seen{};
    /// Handles reports about suspected requests from the host with that heartbeat address.
    std::function<void(const std::vector<host::suspect_report>&, const std::string&)> on_suspects_reported{};
    std::map<host::instance_key, exit_check> exit_checks{}; ///< In progress, see `detect_upstream_exit`.
    /// Probes this host's links to a service, see `reach_prober`.
    std::function<void(const std::string& service)> on_links_doubted{};
    std::function<void()> on_host_list_read{};  ///< Called after the list of hosts has been read.
    std::function<bool()> query_other_cells{};  ///< See `try_query_other_cells`.
    std::function<void()> on_slots_changed{};   ///< See `did_change_slots`.
    std::function<void()> on_load_changed{};    ///< Sends an update to the other hosts.
    std::set<const waiting_request*> waiting{}; ///< Requests of this host that wait for an engine slot.
    std::map<std::string, ordered_waiters> ordered_waiters_of{}; ///< By service.
    std::map<host::share_key, share_use> shares{};               ///< Of this host's requests.
    /// Requests of this host that wait for a send slot, by service.
    std::map<std::string, send_slot_queue> send_slot_queues{};
    plain_load_state plain_loads{};
    std::map<std::string, plain_service> plain_services{};
    std::set<base::upstream_id>
        advertising_upstreams{}; ///< Instances whose advertised state is gossiped to other hosts.
    std::map<std::string, decision::service_profile> profiles{};        ///< Learned, by service.
    std::map<std::string, decision::caller_timeouts> caller_timeouts{}; ///< Learned, by route.
    std::map<base::upstream_id, reported_prompts> held_prompts{};       ///< As last reported by the engines.
    std::set<base::upstream_id> life_probes{};      ///< Upstreams that are being asked for a sign of life.
    std::set<base::host_id> host_life_probes{};     ///< The same of hosts.
    std::set<base::upstream_id> measured_engines{}; ///< Whose processing time this host measured recently.
    decision::timer_delays timer_delays{};          ///< Delays of this host, which are not the engines'.
    std::mt19937_64 random{};
    wire::connection_pool* pool = nullptr;
    wire::connection_pool* forwarding_pool =
        nullptr; ///< From this host's own address, by which others know it.
    decision_log* log = nullptr;
    gateway_metrics* metrics = nullptr;
    unsent_data_bound* unsent_data = nullptr;  ///< Of all requests in progress.
    collected_bodies* collected = nullptr;     ///< Of all connections.
    std::deque<completed_request> completed{}; ///< Oldest first; bounded.
    bool reads_store = true; ///< False while this host follows updates from the leaders of its cell.
    bool is_draining = false;
    std::optional<decision::drain_schedule> drain{}; ///< Set while this host is stopping.
    int requests_in_progress = 0;
    std::set<open_request*> open_requests{}; ///< Those in progress.

    /// Slots may have become free: wakes the requests that may now get one.
    void did_change_slots() const {
        if (this->on_slots_changed)
            this->on_slots_changed();
    }
    /// Asks hosts of other cells for their engines' load when no known engine has a free slot. Returns
    /// whether an answer is pending; waiting requests are woken when it arrives.
    [[nodiscard]] bool try_query_other_cells() const {
        return this->query_other_cells && this->query_other_cells();
    }
    /// Call after this host's work on an engine has changed.
    void did_change_load() const;
};

/// Keeps the record of a completed request; drops the oldest beyond the bound.
void record_completed(gateway_state& state, completed_request request);

/// Records of all attempts with that request id that are still kept.
[[nodiscard]] nlohmann::json traces_of(const gateway_state& state, const std::string& id);

/// Whether the host is ready to accept client traffic.
[[nodiscard]] bool is_ready(const gateway_state& state);

/// Version of the routing settings in force; 0 if none.
[[nodiscard]] std::uint64_t settings_version(const gateway_state& state);

/// Whether a transfer of settings that began at `since` still has time to complete: half of the settings
/// bound. A concurrent second transfer would share the link and delay both; after that time the source may be
/// too slow and another one should be tried.
[[nodiscard]] bool is_settings_transfer_pending(const gateway_state& state,
                                                const std::optional<base::time_point>& since);

/// Applies the settings if they are newer than those in force; returns whether they were.
bool apply_settings(gateway_state& state, ports::settings_document document, const char* origin);

/// Applies the operator's records on availability zones; returns whether any was new.
bool apply_zone_records(gateway_state& state, const decision::zone_record_page& page, const char* origin);

/// Number of hosts that share an upstream's limits, and this host's position among them.
[[nodiscard]] decision::rate_group rate_group_of(const gateway_state& state);

/// Records that an instance advertised, to this host or another, that it is shutting down. Returns whether
/// that is new.
bool record_instance_leaving(gateway_state& state, decision::instance& target, const char* origin);

/// Applies registry changes and logs each change to an instance's listing.
void apply_registry_changes(gateway_state& state, const std::vector<decision::registry_change>& changes,
                            const char* origin);

[[nodiscard]] host::cell own_cell(const gateway_state& state);

/// Time within which each record of the registry must be known.
[[nodiscard]] std::chrono::milliseconds registry_bound(const gateway_state& state);

/// Call after reading the registry: removes unlisted instances that were kept as the registry was failing,
/// once it has been healthy for long enough, or another host has proved that it was healthy all the while.
void expire_unlisted_instances(gateway_state& state);

/// Replaces the known registry by a full snapshot.
void apply_registry_snapshot(gateway_state& state, const ports::registry_page& page);

/// Limits idle connections to an upstream to this host's share of what the upstream accepts.
void limit_idle_connections(gateway_state& state);

/// Options of the shared retry budget, from the host's current settings.
[[nodiscard]] decision::shared_budget_options budget_options_of(const gateway_state& state);

/// This host's share of a service's retry budget.
[[nodiscard]] decision::shared_budget& budget_of(gateway_state& state, const std::string& service);

/// Other hosts that may be alive and can be asked.
[[nodiscard]] std::size_t count_other_hosts(const gateway_state& state);

/// Hosts that may be alive, including this one; shared limits are divided by this number.
[[nodiscard]] int hosts_alive(const gateway_state& state);

} // namespace postpaddle::gateway
