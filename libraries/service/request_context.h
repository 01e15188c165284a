// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/request_facts.h>
#include <host/claim_table.h>
#include <service/claim_client.h>
#include <service/decision_controller.h>
#include <service/limit_controller.h>
#include <service/metrics.h>
#include <service/problem_details.h>
#include <service/quarantine_registry.h>
#include <service/release_controller.h>
#include <service/request_lifecycle.h>
#include <service/request_mailbox.h>
#include <service/settings_store.h>
#include <service/upstream_registry.h>
#include <wire/caller_connection.h>
#include <wire/connection_pool.h>
#include <wire/engine_adapter.h>

#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace postpaddle::service {

/// Services shared by all requests of a worker. All of them outlive every request.
struct worker_services {
    const base::clock* clock = nullptr;
    wire::asio::io_context* context = nullptr;
    const settings_store* settings = nullptr;
    decision_controller* decision = nullptr;
    limit_controller* limits = nullptr;
    quarantine_registry* quarantine = nullptr;
    upstream_registry* upstreams = nullptr;
    claim_client* claims = nullptr;
    metrics* process_metrics = nullptr;
    wire::connection_pool* pool = nullptr;
    std::map<base::request_id, std::shared_ptr<request_mailbox>>* mailboxes = nullptr;
};

enum class request_kind { completion, plain };

/// State of one request as it passes through the filter chain.
struct request_context {
    worker_services* services = nullptr;
    wire::caller_connection* connection = nullptr;
    wire::http_request request;
    base::request_id id;
    base::time_point arrived{};
    settings_pointer settings;
    const settings::organisation_policy* policy = nullptr; ///< Set by `authenticate`.
    host::request_fingerprint fingerprint; ///< The same for all retries; set by `check_quarantine`.
    request_kind kind = request_kind::completion;
    // Only for completions.
    wire::completion_api api = wire::completion_api::completions;
    wire::json body;
    bool is_streamed = false;
    bool wants_usage = false;
    decision::request_facts facts;
    // Only for plain requests.
    const settings::route_settings* route = nullptr;
    // Execution of the request.
    decision::execution_rule runs = decision::execution_rule::repeatable;
    std::string idempotency_key;
    std::optional<host::claim> held_claim;
    bool is_counted_in_limits = false; ///< Counted against the organisation's limits.
    request_lifecycle lifecycle;
    std::shared_ptr<request_mailbox> mailbox;
    request_observation observation;
    bool has_response_started = false; ///< Bytes of a response were sent to the caller.
};

/// Success to continue with the next filter, or the problem to respond with.
using filter_result = tl::expected<void, problem_details>;

/// Reports an event to the decision; suspends the coroutine and retries while its ring is full.
void report(request_context& context, const decision::event& event, wire::yield_context yield);

} // namespace postpaddle::service
