// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/quarantine/request_quarantine.h>

#include <base/json_parser.h>
#include <gateway/store_sync/registry_lease.h>

#include <gateway/caller_identity.h>
#include <gateway/endings/request_drain.h>
#include <gateway/forwarding/reach_prober.h>

#include <decision/exit_check.h>
#include <host/quarantine_codec.h>

#include <algorithm>
#include <functional>

namespace postpaddle::gateway {

namespace {

/// Maximum number of requests to which one exit that a later probe detects is attributed.
constexpr std::size_t max_requests_per_check = 64;

/// One start of an upstream.
struct upstream_start {
    base::upstream_id id;
    std::uint64_t start_time_ms = 0;
    std::string address;
};

/// Records that the upstream exited while it ran the request.
void record_exit(gateway_state& state, const upstream_start& start,
                 const host::request_fingerprint& fingerprint, const accused_request& accused) {
    state.metrics->count("upstreams_ended_total");
    state.log->write(
        "upstream_ended",
        {{"instance", start.id.value}, {"request", accused.id}, {"fingerprint", host::to_text(fingerprint)}});
    const base::time_point now = state.clock->now();
    host::upstream_exit exit = {.upstream = host::key_of(start.id, start.start_time_ms),
                                .at = accused.broken_at};
    state.on_suspect_seen({.request = fingerprint, .exits = {exit}});
    exit.request = fingerprint.high ^ fingerprint.low;
    for (const host::request_fingerprint& part : accused.part_prints)
        state.on_suspect_seen({.request = part, .exits = {exit}});
    decision::instance* const target = decision::find_instance(state.instances, start.id);
    if (target != nullptr && target->entry.start_time_ms == start.start_time_ms)
        decision::record_outcome(*target, decision::attempt_outcome::exited, now);
}

accused_request describe(const gateway_request& request, base::time_point broken_at) {
    return {.id = request.routed.id, .part_prints = request.part_prints, .broken_at = broken_at};
}

bool is_leaving(gateway_state& state, const base::upstream_id& id) {
    const decision::instance* const target = decision::find_instance(state.instances, id);
    return target != nullptr && target->state == decision::listing::leaving;
}

/// Whether a later start may listen at the probed address.
bool has_new_start(gateway_state& state, const upstream_start& start) {
    const decision::instance* const target = decision::find_instance(state.instances, start.id);
    return target != nullptr && target->entry.start_time_ms != start.start_time_ms &&
           target->entry.address == start.address;
}

/// What one probe in the background showed.
struct observed_port {
    decision::exit_verdict verdict = decision::exit_verdict::look_again;
    wire::port_state port = wire::port_state::unknown;
};

observed_port look_again(gateway_state& state, const upstream_start& start, base::time_point broken_at,
                         wire::yield_context yield) {
    const auto probe = [&] {
        return wire::probe_port(*state.pool, start.address, wire::port_probe_timeout, yield);
    };
    const base::time_point looked_at = state.clock->now();
    const wire::port_state port = probe();
    // Links may have been restored between the probe and their confirmation, so the port must still be
    // closed.
    const bool is_known_closed = port == wire::port_state::not_listening &&
                                 confirm_own_links(state, start.id, looked_at, yield) &&
                                 probe() == wire::port_state::not_listening;
    return {.verdict = decision::judge_exit({.since_break = looked_at - broken_at,
                                             .is_port_known_closed = is_known_closed,
                                             .is_leaving = is_leaving(state, start.id),
                                             .has_new_start = has_new_start(state, start)}),
            .port = port};
}

/// Requests that are not suspected wait for a few probes only, and for none after one that was inconclusive.
void did_look(exit_check& check, wire::port_state port) {
    ++check.looks;
    if (port == wire::port_state::listening && check.looks < decision::max_awaited_looks)
        return;
    for (auto& [fingerprint, accused] : check.requests)
        accused.is_awaited = false;
}

/// Probes the port until the upstream is known to have exited or none of the requests is to blame any more.
decision::exit_verdict await_exit(gateway_state& state, const upstream_start& start, exit_check& check,
                                  wire::yield_context yield) {
    wire::boot_timer timer(*state.context);
    check.pause = &timer;
    observed_port observed;
    while (observed.verdict == decision::exit_verdict::look_again) {
        wire::error_code error;
        timer.expires_after(decision::pause_before_look(check.looks));
        timer.async_wait(yield[error]);
        if (error)
            continue;
        observed = look_again(state, start, check.broken_at, yield);
        did_look(check, observed.port);
    }
    check.pause = nullptr;
    return observed.verdict;
}

/// Adds the request to the check. Unless the next look is soon anyway, the looks begin anew for one that
/// waits.
void add_accused(exit_check& check, const host::request_fingerprint& fingerprint,
                 const accused_request& accused) {
    check.broken_at = std::max(check.broken_at, accused.broken_at);
    if (check.requests.size() < max_requests_per_check || check.requests.contains(fingerprint))
        check.requests.insert_or_assign(fingerprint, accused);
    if (!accused.is_awaited || check.looks < decision::max_awaited_looks)
        return;
    check.looks = 0;
    if (check.pause != nullptr)
        check.pause->cancel();
}

/// Probes the port again in the background, so that the caller's response does not wait for it. Requests
/// whose connections to the upstream break meanwhile share the check.
void check_exit_later(const gateway_request& request, const upstream_start& start,
                      const accused_request& accused) {
    gateway_state& state = *request.state;
    const host::instance_key key = host::key_of(start.id, start.start_time_ms);
    const auto [check, is_first] = state.exit_checks.try_emplace(key);
    add_accused(check->second, request.fingerprint, accused);
    if (!is_first)
        return;
    wire::spawn_coroutine(*state.context, [&state, start, key](wire::yield_context yield) {
        const decision::exit_verdict verdict = await_exit(state, start, state.exit_checks.at(key), yield);
        const exit_check ended = std::move(state.exit_checks.extract(key).mapped());
        if (verdict != decision::exit_verdict::exited)
            return;
        for (const auto& [fingerprint, accused] : ended.requests)
            if (decision::is_attributable(state.clock->now() - accused.broken_at))
                record_exit(state, start, fingerprint, accused);
    });
}

/// Number of checks in progress on upstreams that may have exited while they ran the request, and for which
/// it waits: a suspected request for each, another one for the first probes.
auto count_checks(const gateway_state& state, const host::request_fingerprint& fingerprint) {
    const bool is_suspected = state.quarantine.suspects.contains(fingerprint);
    return std::ranges::count_if(state.exit_checks, [&](const auto& check) {
        const auto found = check.second.requests.find(fingerprint);
        return found != check.second.requests.end() && (is_suspected || found->second.is_awaited);
    });
}

/// Whether the request would be quarantined if all checks in progress found that its upstreams have exited.
bool may_be_fatal(const gateway_state& state, const host::request_fingerprint& fingerprint) {
    const auto checks = count_checks(state, fingerprint);
    if (checks == 0)
        return false;
    const auto suspect = state.quarantine.suspects.find(fingerprint);
    const std::size_t exits = suspect == state.quarantine.suspects.end() ? 0 : suspect->second.exits.size();
    return exits + static_cast<std::size_t>(checks) >= state.quarantine_options.exits_to_hold;
}

/// Identity for the fingerprint: the organisation, or the key hash if no organisations are configured.
const std::string& caller_of(const gateway_request& request) {
    return request.organisation != nullptr ? request.organisation->id.value : request.routed.key_hash;
}

/// Waits until nothing is pending any more, or the wait is over for another reason.
void await_while(const gateway_request& request, const std::function<bool()>& is_pending,
                 wire::yield_context yield) {
    static constexpr base::duration poll_interval = std::chrono::milliseconds(5);
    while (!is_wait_over(request) && is_pending())
        pause_request(request, poll_interval, yield);
}

} // namespace

void set_fingerprint(gateway_request& request) {
    const ports::routed_request& routed = request.routed;
    request.fingerprint = host::fingerprint_of({.caller = caller_of(request),
                                                .host = routed.host,
                                                .method = routed.message.method,
                                                .target = routed.message.target,
                                                .body = routed.message.body});
}

void set_part_prints(gateway_request& request) {
    request.part_prints.clear();
    for (const std::string& part : request.routed.shared_parts)
        request.part_prints.push_back(host::fingerprint_of(host::prompt_part{
            .organisation = request.routed.organisation.value, .service = request.service, .id = part}));
}

std::optional<base::duration> quarantine_time_left(const gateway_request& request) {
    const gateway_state& state = *request.state;
    const base::time_point now = state.clock->now();
    const auto remaining = [&](const host::request_fingerprint& suspect) {
        return host::remaining_hold(state.quarantine, state.quarantine_options, suspect, now);
    };
    std::optional<base::duration> longest = remaining(request.fingerprint);
    for (const host::request_fingerprint& part : request.part_prints)
        longest = std::max(longest, remaining(part));
    return longest;
}

void record_survival(const gateway_request& request, base::time_point sent) {
    gateway_state& state = *request.state;
    const auto cleared = host::record_survival(state.quarantine, host::service_key_of(request.service),
                                               request.part_prints, sent);
    // Many hosts see such runs at the same time; a few words of them are enough.
    static constexpr double expected_reports = 16;
    std::uniform_real_distribution<double> draw(0, 1);
    if (cleared.empty() || draw(state.random) * hosts_alive(state) > expected_reports)
        return;
    for (const host::request_fingerprint& part : cleared)
        state.on_suspect_seen({.request = part, .exits = {}, .last_success = sent});
}

const char* reason_to_stop(gateway_request& request) {
    if (!is_key_valid(request))
        return key_revoked_reason;
    if (is_registry_lost(*request.state))
        return old_registry_reason;
    if (is_beyond_drain(request))
        return stopping_reason;
    return quarantine_time_left(request) ? quarantine_reason : nullptr;
}

std::string encode_suspects(const gateway_request& request) {
    const gateway_state& state = *request.state;
    std::vector<host::suspect_report> reports;
    const auto add = [&](const host::request_fingerprint& suspect) {
        if (state.quarantine.suspects.contains(suspect))
            reports.push_back(host::report_of(state.quarantine, suspect));
    };
    add(request.fingerprint);
    std::ranges::for_each(request.part_prints, add);
    return reports.empty() ? "" : host::encode_reports(reports, state.clock->now()).dump();
}

void apply_suspects(gateway_state& state, const std::string& suspects, const std::string& sender) {
    if (suspects.empty())
        return;
    try {
        state.on_suspects_reported(host::decode_reports(base::parse_json(suspects), state.clock->now()),
                                   sender);
    } catch (const nlohmann::json::exception&) {
        state.metrics->count("malformed_suspects_total");
    }
}

void record_success(const gateway_request& request) {
    gateway_state& state = *request.state;
    const base::time_point now = state.clock->now();
    if (state.quarantine.suspects.contains(request.fingerprint))
        state.on_suspect_seen({.request = request.fingerprint, .exits = {}, .last_success = now});
    else
        host::record_success(state.quarantine, state.quarantine_options, request.fingerprint, now);
}

void detect_upstream_exit(gateway_request& request, const ports::upstream_attempt& send,
                          const exchange_result& exchange, wire::yield_context yield) {
    // After a protocol violation this host closed the connection, not the upstream.
    const bool may_have_exited =
        exchange.result == decision::attempt_result::broken && !exchange.is_protocol_violation;
    if (!may_have_exited || request.cancellation->is_own())
        return;
    gateway_state& state = *request.state;
    if (decision::find_instance(state.instances, send.instance) == nullptr)
        return;
    const upstream_start start = {send.instance, exchange.start_time_ms, exchange.address};
    accused_request accused = describe(request, state.clock->now());
    const wire::port_state port =
        wire::probe_port(*state.pool, start.address, wire::port_probe_timeout, yield);
    // A link that fails resets and refuses connections as well.
    if (port == wire::port_state::not_listening &&
        confirm_own_links(state, start.id, accused.broken_at, yield)) {
        request.sends.back()["has_ended"] = true;
        record_exit(state, start, request.fingerprint, accused);
        return;
    }
    accused.is_awaited = port == wire::port_state::listening;
    // An upstream that is shutting down closes its port soon, whatever it ran.
    if (!is_leaving(state, start.id))
        check_exit_later(request, start, accused);
}

bool is_exit_check_pending(const gateway_request& request) {
    return may_be_fatal(*request.state, request.fingerprint);
}

void await_exit_checks(const gateway_request& request, wire::yield_context yield) {
    await_while(
        request, [&request] { return is_exit_check_pending(request); }, yield);
}

void await_all_exit_checks(const gateway_request& request, wire::yield_context yield) {
    const auto is_pending = [&request] {
        return time_left(request) > base::duration::zero() &&
               count_checks(*request.state, request.fingerprint) > 0;
    };
    await_while(request, is_pending, yield);
}

} // namespace postpaddle::gateway
