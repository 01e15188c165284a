// SPDX-License-Identifier: BSD-2-Clause
#include <service/quarantine_filter.h>

#include <service/filter_chain.h>
#include <service/log.h>

#include <wire/http_client.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

/// Exits of an upstream within the same window of wall-clock time count as one: all hosts observe an exit
/// within milliseconds, and a process takes longer to restart. An exit that is observed on both sides of a
/// window boundary counts twice.
constexpr auto exit_window = 2'000ms;

/// Identifies one incarnation of an upstream. The settings do not distinguish incarnations, so the key is
/// derived from the time window of the exit and is the same on all hosts.
host::instance_key key_of_exit(const base::upstream_id& upstream, base::wall_time now) {
    const auto window_index = now.time_since_epoch() / exit_window;
    return host::key_of(upstream, static_cast<std::uint64_t>(window_index));
}

/// A connection to an upstream that broke while it ran a request.
struct observed_break {
    host::request_fingerprint fingerprint;
    base::request_id request;
    base::upstream_id upstream;
    std::string address;
    host::instance_key exit_key =
        0; ///< By the time of the break, which all hosts see at about the same time.
};

void record_exit(const worker_services& services, const observed_break& observed) {
    ++services.process_metrics->counters.upstream_exits;
    log_warning("upstream_ended", {{"upstream", observed.upstream.value},
                                   {"request", observed.request.value},
                                   {"fingerprint", host::to_text(observed.fingerprint)}});
    services.quarantine->record_upstream_exit(observed.fingerprint, observed.exit_key, services.clock->now());
}

/// Probes the port again in the background, so that the caller's response does not wait for it.
void check_exit_later(const worker_services& services, const observed_break& observed) {
    wire::spawn_coroutine(*services.context, [&services, observed](wire::yield_context yield) {
        if (wire::is_port_closed_later(*services.context, *services.pool, observed.address, yield))
            record_exit(services, observed);
    });
}

} // namespace

std::optional<problem_details> quarantine_problem(request_context& context) {
    const worker_services& services = *context.services;
    const auto time_left =
        services.quarantine->remaining_quarantine(context.fingerprint, services.clock->now());
    if (!time_left)
        return std::nullopt;
    ++services.process_metrics->counters.quarantined_requests;
    return problem_details{503,
                           "upstreams-ended",
                           "Upstreams ended while they ran this request",
                           "It is sent to no further one.",
                           context.lifecycle.outcome(),
                           *time_left,
                           {}};
}

filter_result check_quarantine(request_context& context, wire::yield_context /*yield*/) {
    context.fingerprint = host::fingerprint_of({.caller = context.policy->id.value,
                                                .host = {},
                                                .method = context.request.method,
                                                .target = context.request.target,
                                                .body = context.request.body});
    auto problem = quarantine_problem(context);
    if (!problem)
        return {};
    // The outcome covers all arrivals with the same idempotency key, and an earlier one may have run.
    if (!wire::find_header(context.request.headers, "Idempotency-Key").empty())
        problem->outcome = run_outcome::unknown;
    return tl::make_unexpected(std::move(*problem));
}

bool detect_upstream_exit(request_context& context, const base::upstream_id& upstream,
                          const std::string& address, const wire::wire_error& error,
                          wire::yield_context yield) {
    const bool may_have_exited =
        error.failure == wire::wire_failure::broken || error.failure == wire::wire_failure::closed;
    if (!may_have_exited || context.mailbox->is_caller_gone())
        return false;
    const worker_services& services = *context.services;
    const observed_break observed = {context.fingerprint, context.id, upstream, address,
                                     key_of_exit(upstream, services.clock->wall_now())};
    switch (wire::probe_port(*services.pool, address, wire::port_probe_timeout, yield)) {
    case wire::port_state::not_listening:
        record_exit(services, observed);
        return true;
    case wire::port_state::listening:
        check_exit_later(services, observed);
        return false;
    case wire::port_state::unknown:
        return false;
    }
    return false;
}

} // namespace postpaddle::service
