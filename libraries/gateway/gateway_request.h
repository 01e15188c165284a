// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/attempt_rules.h>
#include <decision/instance_choice.h>
#include <decision/retry_payment.h>
#include <gateway/engine_slots/slot_order.h>
#include <gateway/forwarding/forwarded_request.h>
#include <host/stream_origins.h>
#include <wire/caller_connection.h>
#include <wire/upstream_connection.h>

#include <memory>
#include <set>
#include <string>

namespace postpaddle::gateway {

/// What to cancel when the client disconnects. Shared with the connection's watch, which may outlive the
/// request.
struct request_cancellation {
    std::shared_ptr<wire::upstream_connection> connection; ///< Of the send in progress; null between sends.
    wire::boot_timer* wait_timer = nullptr; ///< Of the wait for a send slot in progress; null otherwise.
    bool is_caller_gone = false;
    bool is_host_stopping = false; ///< The exchange in progress was cancelled since this host stops.

    /// Whether this host ended the exchange in progress by itself, which says nothing of the upstream.
    [[nodiscard]] bool is_own() const { return this->is_caller_gone || this->is_host_stopping; }

    /// Closes the upstream connection at once, which makes the upstream drop the request. Ends a wait for a
    /// send slot.
    void did_lose_caller() {
        this->is_caller_gone = true;
        if (this->connection)
            this->connection->cancel();
        if (this->wait_timer != nullptr)
            this->wait_timer->cancel();
    }
};

/// What the stream journal has of an attempt that has brought no event yet.
struct journal_state {
    std::optional<host::stream_origin> written{};   ///< Of the last record, if the store has confirmed it.
    std::optional<host::stream_origin> attempted{}; ///< Of the last record, whether or not it was written.
    bool is_unclear = false;                        ///< Another host may have written a record.
    std::uint32_t revisions = 0;                    ///< Records so far.

    /// Whether the journal may name another origin.
    [[nodiscard]] bool may_contradict(const host::stream_origin& origin) const {
        return this->is_unclear || (this->attempted && *this->attempted != origin);
    }
};

/// State of one client request, from its arrival until it has been answered.
struct gateway_request {
    gateway_state* state = nullptr;
    wire::caller_connection* connection = nullptr;
    ports::routed_request routed;
    std::shared_ptr<const settings_in_force> settings;
    const settings::route_entry* route = nullptr;
    const settings::organisation_entry* organisation = nullptr; ///< Owner of its key; in `settings`.
    std::optional<base::host_id> forwarded_by{}; ///< Host that forwarded it here; unset for an own caller's.
    bool is_forwarding_exhausted = false;        ///< No other host takes it.
    bool needs_key = false;
    std::shared_ptr<const settings_in_force> checked_settings{}; ///< Settings that last accepted the key.
    host::request_fingerprint fingerprint{}; ///< Same for all retries of the request, on every host.
    std::vector<host::request_fingerprint> part_prints{}; ///< Of the parts that its prompt may share.
    bool is_key_revoked = false;                          ///< The key was revoked before the request ran.
    std::int64_t charged_amount = 0; ///< Charged against the organisation's limit, in its unit.
    std::string service;
    /// What began the stream that the request has begun or continues: nothing else may continue it.
    std::optional<host::stream_origin> origin{};
    journal_state journal{};
    int rank = 0;                  ///< Priority among waiting requests, from 0 (most urgent) to `max_rank`.
    host::share_key share_key = 0; ///< Of its organisation's share of the service.
    std::optional<scoped_share_use> share_use{}; ///< From its start at an engine to its end.
    base::time_point arrived{};
    base::time_point first_try{};        ///< Estimated time of the client's first attempt, on any host.
    std::set<base::upstream_id> holding; ///< Engines that still hold its prompt from an earlier attempt.
    base::time_point deadline{};         ///< The earlier of the client's timeout and the route's limit.
    std::optional<base::time_point> deadline_before_drain{}; ///< Set while the host's stop brings it forward.
    base::duration time_until_slot{}; ///< Expected wait, if it was refused for lack of a slot.
    std::optional<base::duration>
        retry_delay; ///< `Retry-After`, if it was refused because of upstreams' load.
    decision::attempt_record record;
    decision::retry_payment payment;
    bool reserves_retries = false; ///< Retries for a prompt and its run are taken before the prompt is sent.
    int charged_retries = 0;       ///< For the log: sends that the retry budget has paid for.
    std::set<base::upstream_id> tried;
    std::shared_ptr<request_cancellation> cancellation = std::make_shared<request_cancellation>();
    nlohmann::json sends = nlohmann::json::array(); ///< For the log: one entry per send.
    nlohmann::json slot_facts;                      ///< For the log: facts behind the last slot decision.
    nlohmann::json limit_facts;                     ///< For the log: facts behind a refusal over the limit.
    nlohmann::json budget_facts;  ///< For the log: state of the retry budget when it was last charged.
    nlohmann::json recheck_facts; ///< For the log: what the recheck of the decode engine decided.
    std::optional<base::duration> first_event; ///< For the log: time until a stream's first event.
    const char* origin_source = nullptr;       ///< For the log: how it was found what began its stream.
    const char* reason = nullptr;              ///< For the log: why there is no complete upstream answer.
    bool is_end_recorded = false;              ///< See `record_request_end`.
};

enum class request_ending {
    passed_on,   ///< A complete upstream answer was forwarded.
    not_run,     ///< 503: it has not run.
    failed,      ///< 502 or 504: it may have run.
    broken_off,  ///< A stream broke and could not be resumed.
    caller_gone, ///< The client disconnected before the answer was complete.
    rejected,    ///< Malformed, unauthorised or without a route.
    cut,         ///< The host stopped before it ended.
    unanswered,  ///< A defect: the host gave it up without an answer.
};

/// Returns null if the settings in force have no service of that name.
[[nodiscard]] const settings::service_entry* service_of(const gateway_request& request);

/// Learned statistics of the request's service.
[[nodiscard]] decision::service_profile& profile_of(const gateway_request& request);

/// Inputs for choosing an instance for this request now.
[[nodiscard]] decision::choice_context choice_context_of(const gateway_request& request);

/// Limits on where the request may be sent: allowed zones, warm-up rates and the hosts sharing them.
[[nodiscard]] decision::placement_limits placement_limits_of(const gateway_request& request);

/// Time from which the request's wait counts: the client's first attempt, or its arrival if the policy does
/// not order by first attempts.
[[nodiscard]] base::time_point waiting_since(const gateway_request& request);

/// Time until the deadline.
[[nodiscard]] base::duration time_left(const gateway_request& request);

/// Whether the request may be sent again now, as far as its own state says: its key, its quarantine and what
/// is known of the upstreams. Does not wait.
[[nodiscard]] bool may_be_sent_again(gateway_request& request);

/// Formats a duration for headers such as `Retry-After`: seconds with two decimals.
[[nodiscard]] std::string format_seconds(base::duration value);

/// Tells the host that forwarded the request, if one did, what the answer with these headers means. The
/// record may include the attempt in progress.
void label_answer(const gateway_request& request, wire::http_headers& headers, forwarding_outcome outcome,
                  const decision::attempt_record& record);

/// Sends an answer generated by this host. Its status and headers tell whether the request may have run.
request_ending answer_locally(gateway_request& request, decision::attempt_result last, const char* reason,
                              wire::yield_context yield);

/// Forwards a complete upstream answer without its hop-by-hop headers.
request_ending forward_answer(gateway_request& request, const wire::response_head& head, std::string body,
                              wire::yield_context yield);

/// Ends a request that another host was asked to serve and refused, with that host's answer. Returns nothing,
/// and prevents another forwarding, if the answer would be untrue: it says that the request has not run, and
/// an earlier attempt may have run it.
std::optional<request_ending> end_after_refusal(gateway_request& request, const wire::response_head& head,
                                                std::string body, wire::yield_context yield);

[[nodiscard]] const char* to_text(request_ending ending);

} // namespace postpaddle::gateway
