// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/plain/upstream_load_exchange.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;
using namespace std::chrono_literals;

/// Age up to which a load is reported, and up to which a report shows that its host uses the upstreams. Half
/// of the time for which a load is used.
constexpr base::duration reported_age = 250ms;
/// Least interval between reports for the loads alone.
constexpr base::duration report_interval = 50ms;
/// Loads in one report, about 15 bytes each; the newest are taken.
constexpr std::size_t max_reported_loads = 16;

bool is_busy(const decision::instance& known, base::time_point now) {
    return decision::is_plain_load_known(known, now) &&
           decision::plain_requests(known, now) >= decision::plain_slots(known);
}

/// What the response says of its request. An upstream that refuses for another reason than its load says
/// nothing of its queue.
decision::plain_response response_of(const exchange_result& exchange, const decision::instance& target) {
    if (exchange.result != attempt_result::not_run)
        return decision::plain_response::executed;
    const bool is_unrelated =
        exchange.facts.backoff || exchange.facts.is_leaving || target.state == decision::listing::leaving;
    return is_unrelated ? decision::plain_response::declined : decision::plain_response::refused;
}

} // namespace

upstream_load_exchange::upstream_load_exchange(gateway_state& state) : state(&state), timer(*state.context) {}

void upstream_load_exchange::start() {
    this->state->plain_loads.on_report_due = [this] { this->schedule_report(); };
}

void upstream_load_exchange::schedule_report() {
    const plain_load_state& loads = this->state->plain_loads;
    // Without a response since the last report, there is nothing new to report.
    if (!this->state->process->policy.report_loads || loads.observed_at <= loads.reported_at ||
        std::exchange(this->is_scheduled, true))
        return;
    const base::duration since = this->state->clock->now() - loads.reported_at;
    this->timer.expires_after(std::max<base::duration>(0ms, report_interval - since));
    this->timer.async_wait([this](const wire::error_code& error) {
        this->is_scheduled = false;
        if (!error)
            this->state->did_change_load();
    });
}

void upstream_load_exchange::fill(host::load_report& report) {
    if (!this->state->process->policy.admit_by_load)
        return;
    const base::time_point now = this->state->clock->now();
    this->state->plain_loads.reported_at = now;
    for (const auto& [id, known] : this->state->instances.by_id)
        if (const auto load = decision::plain_load_to_report(known, reported_age, now))
            report.loads.push_back({.key = host::key_of(id, known.entry.start_time_ms),
                                    .load = *load,
                                    .age = now - known.plain.observed_at});
    if (report.loads.size() <= max_reported_loads)
        return;
    std::ranges::sort(report.loads, {}, &host::observed_load::age);
    report.loads.resize(max_reported_loads);
}

void upstream_load_exchange::apply(const host::load_report& report) {
    if (!this->state->process->policy.admit_by_load)
        return;
    const base::time_point now = this->state->clock->now();
    decision::competing_hosts& competing = this->state->plain_loads.competing;
    if (report.loads.empty())
        decision::remove_competing_host(competing, report.host);
    else
        decision::record_competing_host(competing, report.host, now + reported_age);
    for (const host::observed_load& observed : report.loads) {
        decision::instance* const target =
            host::find_by_key(this->state->instances, this->state->loads, observed.key);
        if (target == nullptr || target->entry.stage != settings::engine_stage::none)
            continue;
        decision::instance_load load = observed.load;
        load.has_relative_latency = true;
        decision::receive_plain_load(*target, load, now - observed.age, now, report.host);
    }
}

void record_plain_response(gateway_state& state, const base::upstream_id& instance,
                           const exchange_result& exchange) {
    decision::instance* const target = decision::find_instance(state.instances, instance);
    const bool is_complete = exchange.result == attempt_result::answered ||
                             exchange.result == attempt_result::server_error ||
                             exchange.result == attempt_result::not_run;
    if (target == nullptr || !is_complete || !exchange.facts.load || exchange.facts.is_other_instance)
        return;
    const base::time_point now = state.clock->now();
    const bool was_busy = is_busy(*target, now);
    decision::record_plain_load(*target, *exchange.facts.load, response_of(exchange, *target), now);
    if (!exchange.facts.load->has_relative_latency)
        return;
    plain_load_state& loads = state.plain_loads;
    loads.observed_at = now;
    // Hosts that know the upstream as busy learn early that it is not any more.
    const bool is_needed = was_busy || is_busy(*target, now) || now < loads.pressed_until;
    if (is_needed && loads.on_report_due)
        loads.on_report_due();
}

void did_hold_plain_request(gateway_state& state) {
    state.plain_loads.pressed_until = state.clock->now() + reported_age;
    if (state.plain_loads.on_report_due)
        state.plain_loads.on_report_due();
}

int count_competing_hosts(gateway_state& state) {
    return 1 + decision::count_competing_hosts(state.plain_loads.competing, state.clock->now());
}

} // namespace postpaddle::gateway
