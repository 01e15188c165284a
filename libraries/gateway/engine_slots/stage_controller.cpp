// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slots/stage_controller.h>

#include <gateway/forwarding/upstream_reach.h>
#include <gateway/upstreams/upstream_call.h>

#include <algorithm>
#include <cstdlib>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;
using settings::engine_stage;

constexpr const char* resource = "engine-stages";
constexpr base::duration check_interval = 500ms;
/// A change must be due for this long before it is ordered; most crashed engines are back by then.
constexpr base::duration min_due_time = 3s;
/// Added for each host that precedes this one.
constexpr base::duration stagger_interval = 6s;
/// Hosts that have been silent for longer are not waited for.
constexpr base::duration presence_timeout = 10s;
/// Pause after the lease could not be acquired.
constexpr base::duration failure_pause = 2s;
/// Timeout of requests to the store and to engines.
constexpr auto answer_timeout = 500ms;
/// Limit on the answer to an order, of which only the status counts.
constexpr std::size_t max_order_answer_bytes = 16UL * 1024;
/// Allowance for clock differences and pauses.
const host::lease_margins margins;
/// Number of streams that must have been timed before the balance is computed.
constexpr int min_timed_streams = 3;
/// Added to the configured duration of a stage change.
constexpr base::duration change_margin = 1'500ms;
/// An engine finishes its running requests before it changes. This bounds the expected time, in mean request
/// durations; the registry reports when the engine is back.
constexpr double max_mean_holds = 4;

host::order_pacing pacing_of(const settings::gateway_settings& process) {
    return {.min_pause = process.min_order_pause,
            .do_upstreams_check_tokens = process.do_engines_check_tokens};
}

const char* to_text(ports::order_answer answer) {
    switch (answer) {
    case ports::order_answer::taken:
        return "taken";
    case ports::order_answer::already_so:
        return "already_so";
    case ports::order_answer::busy:
        return "busy";
    case ports::order_answer::fenced:
        return "fenced";
    case ports::order_answer::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace

stage_controller::stage_controller(gateway_state& state, ports::control_feed& feed)
    : state(&state), feed(&feed) {}

void stage_controller::start() {
    wire::spawn_coroutine(*this->state->context, [this](wire::yield_context yield) { this->run(yield); });
}

void stage_controller::pause(base::duration length, wire::yield_context yield) {
    wire::boot_timer timer(*this->state->context, length);
    wire::error_code ignored;
    timer.async_wait(yield[ignored]);
}

void stage_controller::run(wire::yield_context yield) {
    while (!this->state->is_draining) {
        this->pause(check_interval, yield);
        const auto in_force = this->state->settings;
        if (!in_force || !this->state->process->policy.move_engines)
            continue;
        for (const auto& [name, service] : in_force->document.value->services) {
            const bool is_known = this->state->profiles[name].streams_timed >= min_timed_streams;
            if (is_known && service.engine && service.engine->stage_change_duration > 0ms)
                this->balance(service, yield);
        }
    }
}

int stage_controller::due_changes(const settings::service_entry& service) const {
    const gateway_state& own = *this->state;
    // It could give no order, and would keep the lease from hosts that can.
    if (is_service_unreachable(own, service.name))
        return 0;
    const decision::service_profile& profile = this->state->profiles[service.name];
    const double request_tokens = profile.prompt_tokens.value + profile.output_tokens.value;
    decision::stage_statistics facts = {
        .prefill_seconds = decision::seconds_for_tokens(profile.speed, profile.prompt_tokens.value),
        .hold_seconds = decision::hold_seconds(profile, service.engine->tokens_per_event),
        .slots_per_engine = std::min<double>(service.engine->slots,
                                             service.engine->kv_tokens / std::max(1.0, request_tokens))};
    if (decision::is_any_out_of_service(own.instances, service.name, own.clock->now()))
        return 0;
    decision::count_stages(facts, own.instances, service.name, profile.speed, own.clock->now());
    return decision::engines_to_decode(facts);
}

base::duration stage_controller::order_delay() const {
    const base::time_point now = this->state->clock->now();
    const host::cell_plan& plan = this->state->cells;
    const host::cell own = own_cell(*this->state);
    const auto before = std::ranges::count_if(this->state->peers.by_name, [&](const auto& item) {
        return host::cell_of_host(plan, item.first, item.second.zone) == own &&
               item.first < this->state->process->name && !item.second.is_leaving &&
               now - item.second.last_seen < presence_timeout;
    });
    return min_due_time + stagger_interval * before;
}

void stage_controller::balance(const settings::service_entry& service, wire::yield_context yield) {
    if (this->due_changes(service) == 0) {
        this->due_since.erase(service.name);
        return;
    }
    const base::time_point now = this->state->clock->now();
    const base::time_point since = this->due_since.try_emplace(service.name, now).first->second;
    if (now - since < this->order_delay())
        return;
    if (!this->try_take_lease(yield)) {
        this->state->metrics->count("order_leases_missed_total");
        this->pause(failure_pause, yield);
        return;
    }
    this->pause(std::max(base::duration::zero(), this->lease->valid_from - this->state->clock->now()), yield);
    // The balance may have changed meanwhile, or another host may have ordered a change.
    if (const int due = this->due_changes(service); due != 0)
        this->send_orders(service, due, yield);
    this->lease.reset();
    this->due_since.erase(service.name);
}

bool stage_controller::is_free(const std::optional<ports::lease_record>& newest) {
    // A lease taken by this process does not block it, regardless of its age.
    if (!newest || newest->token == this->own_token)
        return true;
    const base::time_point now = this->state->clock->now();
    if (!this->last_seen_lease || this->last_seen_lease->token != newest->token)
        this->last_seen_lease =
            host::lease_entry{.token = newest->token,
                              .holder = newest->holder,
                              .length = host::lease_length(pacing_of(*this->state->process), margins),
                              .read_at = now};
    return host::is_expired(*this->last_seen_lease, margins, now);
}

bool stage_controller::try_take_lease(wire::yield_context yield) {
    const std::string& own_name = this->state->process->name.value;
    const auto page = this->feed->read_lease(resource, answer_timeout, yield);
    if (!page || !this->is_free(page->newest))
        return false;
    const base::time_point requested_at = this->state->clock->now();
    const auto token = this->feed->take_lease(resource, own_name, page->end, answer_timeout, yield);
    this->state->log->write_always("order_lease",
                                   {{"taken", token.has_value()},
                                    {"token", token ? *token : 0},
                                    {"holder_before", page->newest ? page->newest->holder : ""},
                                    {"failure", token ? "" : ports::to_text(token.error().failure)}});
    if (!token)
        return false;
    this->own_token = *token;
    const bool has_other_holder = page->newest && page->newest->holder != own_name;
    const base::duration wait = has_other_holder
                                    ? host::pause_between_holders(pacing_of(*this->state->process), margins)
                                    : base::duration::zero();
    this->lease = own_lease{.entry = {.token = *token,
                                      .holder = own_name,
                                      .length = host::lease_length(pacing_of(*this->state->process), margins),
                                      .read_at = requested_at},
                            .requested_at = requested_at,
                            .valid_from = requested_at + wait};
    return true;
}

bool stage_controller::may_order() const {
    return this->lease && !this->state->is_draining &&
           host::may_issue_orders(this->lease->entry, this->lease->requested_at, margins,
                                  this->state->clock->now());
}

void stage_controller::send_orders(const settings::service_entry& service, int count,
                                   wire::yield_context yield) {
    const engine_stage from = count > 0 ? engine_stage::prefill : engine_stage::decode;
    const engine_stage to = count > 0 ? engine_stage::decode : engine_stage::prefill;
    for (int given = 0; given < std::abs(count); ++given) {
        const auto engine = decision::engine_to_reassign(this->state->instances, service.name, from,
                                                         this->state->clock->now());
        if (!engine || !this->send_order(service, *engine, to, yield))
            return;
    }
}

bool stage_controller::send_order(const settings::service_entry& service, const base::upstream_id& engine,
                                  engine_stage stage, wire::yield_context yield) {
    const std::string address = decision::find_instance(this->state->instances, engine)->entry.address;
    const auto report =
        call_upstream(*this->state, address, this->state->protocol.make_report_request(engine, address),
                      {.timeout = answer_timeout, .body_bytes = max_report_bytes}, yield);
    const auto engine_report =
        report ? this->state->protocol.read_report(report->body) : tl::make_unexpected(report.error());
    // NOTE: The lease must be checked immediately before the order is sent, as the process may have been
    // suspended at any point.
    if (!engine_report || engine_report->is_under_way || !this->may_order())
        return false;
    const ports::stage_order order = {.engine = engine,
                                      .address = address,
                                      .stage = stage,
                                      .holder = this->lease->entry.holder,
                                      .token = this->lease->entry.token,
                                      .expected_orders = engine_report->orders};
    const auto answer = call_upstream(*this->state, address, this->state->protocol.make_stage_order(order),
                                      {.timeout = answer_timeout, .body_bytes = max_order_answer_bytes},
                                      yield, wire::connection_use::only_new);
    const auto outcome =
        answer ? this->state->protocol.read_order_answer(answer->status) : ports::order_answer::refused;
    this->state->metrics->count("stage_orders_total");
    const decision::service_profile& profile = this->state->profiles[service.name];
    this->state->log->write_always(
        "stage_order",
        {{"engine", engine.value},
         {"to", stage == engine_stage::decode ? "decode" : "prefill"},
         {"token", order.token},
         {"expected_orders", order.expected_orders},
         {"answer", answer ? to_text(outcome) : "none"},
         {"prompt_tokens", profile.prompt_tokens.value},
         {"read_seconds", decision::seconds_for_tokens(profile.speed, profile.prompt_tokens.value)},
         {"hold_seconds", decision::hold_seconds(profile, service.engine->tokens_per_event)}});
    const bool may_be_accepted = !answer || outcome == ports::order_answer::taken;
    decision::instance* const target = decision::find_instance(this->state->instances, engine);
    if (may_be_accepted && target != nullptr) {
        base::duration unavailable_for = service.engine->stage_change_duration + change_margin;
        // An unanswered order may never be executed, so the engine is not excluded for longer than necessary.
        if (answer)
            unavailable_for += base::from_seconds(
                max_mean_holds * decision::hold_seconds(profile, service.engine->tokens_per_event));
        decision::put_out_of_service(*target, this->state->clock->now() + unavailable_for);
        this->state->did_change_load();
    }
    return outcome == ports::order_answer::taken;
}

} // namespace postpaddle::gateway
