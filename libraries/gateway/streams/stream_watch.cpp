// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/stream_watch.h>

#include <decision/choice_cost.h>
#include <decision/stream_rules.h>
#include <gateway/engine_slots/engine_slot.h>
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/retry_payment.h>

#include <algorithm>
#include <utility>

namespace postpaddle::gateway {

base::duration stream_watch::takeover_limit() const {
    // A caller without any event has waited since it sent the request.
    const base::duration waited = this->progress->has_started
                                      ? base::duration{}
                                      : this->request->state->clock->now() - this->request->arrived;
    const base::duration until_next_event = takeover_time(*this->request, this->progress->size.prompt_tokens);
    const base::duration until_leaving =
        decision::caller_patience(this->request->route->latency_target, this->request->route->gap_target) -
        waited - until_next_event;
    return std::min(until_leaving, time_left(*this->request) - until_next_event -
                                       time_for_rest(*this->request, *this->progress));
}

stall_limits stream_watch::limits_of_first_event(const decision::engine_plan& plan) const {
    return {.limit = decision::step_timeout(plan.expected_first_event),
            .takeover_limit = this->takeover_limit(),
            .ending = this->progress->has_started ? decision::ending_alone::broken_answer
                                                  : decision::ending_alone::failure};
}

stall_limits stream_watch::limits_of_next_event() const {
    return {.limit = decision::idle_timeout(this->request->route->gap_target),
            .takeover_limit = this->takeover_limit(),
            .ending = decision::ending_alone::broken_answer};
}

stall_limits stream_watch::limits_of_other_host() const {
    stall_limits limits = this->limits_of_next_event();
    limits.takeover_limit = base::duration::max();
    return limits;
}

stall_source stream_watch::source_of(const base::upstream_id& engine, decision::attempt_kind kind) const {
    return upstream_source(*this->request->state, engine,
                           [this, engine, kind] { return this->other_engines(engine, kind); });
}

void stream_watch::watch_engine(const decision::engine_plan& plan) {
    this->monitor.reset();
    if (!decision::may_retry_elsewhere(this->request->record))
        return;
    this->monitor.emplace(*this->request, this->source_of(plan.decode, decision::attempt_kind::run),
                          stall_monitor_options{.limits = this->limits_of_first_event(plan),
                                                .try_claim_next = [this, engine = plan.decode] {
                                                    return this->try_claim_next(engine,
                                                                                decision::attempt_kind::run);
                                                }});
}

stall_monitor& stream_watch::watch_prefill(const decision::engine_plan& plan) {
    stall_limits limits = this->limits_of_first_event(plan);
    limits.limit = decision::step_timeout(plan.expected_prefill);
    // After a run that may have begun, a refusal would be untrue.
    const bool may_have_run = this->request->record.may_have_run;
    if (!may_have_run)
        limits.ending = decision::ending_alone::refusal;
    this->monitor.emplace(
        *this->request, this->source_of(*plan.prefill, decision::attempt_kind::prefill),
        stall_monitor_options{
            .limits = limits, .try_claim_next = [this, may_have_run, engine = *plan.prefill] {
                return !may_have_run || this->try_claim_next(engine, decision::attempt_kind::prefill);
            }});
    return *this->monitor;
}

void stream_watch::watch_host(const base::host_id& host) {
    this->monitor.reset();
    if (!decision::may_retry_elsewhere(this->request->record))
        return;
    this->monitor.emplace(
        *this->request, host_source(*this->request->state, host),
        stall_monitor_options{.limits = this->limits_of_other_host(),
                              .try_claim_next = [this, host] { return this->try_claim_other_host({host}); }});
}

answer_wait stream_watch::begin_wait() {
    this->answer_deadline = this->monitor ? this->monitor->did_progress() : this->request->deadline;
    return {.deadline = this->answer_deadline, .monitor = this->monitor ? &*this->monitor : nullptr};
}

void stream_watch::did_progress() {
    const bool is_elsewhere = this->progress->decode_engine.is_empty();
    if (!is_elsewhere)
        record_sign_of_life(*this->request->state, this->progress->decode_engine);
    if (this->monitor)
        this->monitor->set_limits(is_elsewhere ? this->limits_of_other_host() : this->limits_of_next_event());
    (void)this->begin_wait();
}

void stream_watch::end(exchange_result& exchange) {
    if (!this->monitor)
        return;
    const bool is_without_end = exchange.result == decision::attempt_result::late ||
                                exchange.result == decision::attempt_result::broken;
    if (!is_without_end && !this->request->cancellation->is_caller_gone)
        (void)this->monitor->did_progress();
    this->monitor->did_end();
    exchange.stalls = this->monitor->record();
    // The connection may outlive the monitor.
    if (exchange.connection)
        set_monitor(*exchange.connection, nullptr);
    this->monitor.reset();
}

void stream_watch::did_receive_unfinished() {
    if (this->monitor)
        this->monitor->did_receive_unfinished();
}

std::vector<base::upstream_id> stream_watch::other_engines(const base::upstream_id& engine,
                                                           decision::attempt_kind kind) const {
    if (should_forward(*this->request))
        return {};
    // A decode engine can process a prompt as well.
    const auto can_take_over = [kind](const decision::instance& candidate) {
        return kind == decision::attempt_kind::prefill || decision::can_decode(candidate);
    };
    std::vector<base::upstream_id> others;
    for (const decision::instance* const candidate : decision::eligible_instances(
             this->request->state->instances, choice_context_of(*this->request), can_take_over))
        if (candidate->entry.id != engine)
            others.push_back(candidate->entry.id);
    // Only a few are asked at a time.
    std::ranges::shuffle(others, this->request->state->random);
    return others;
}

std::optional<decision::engine_plan> stream_watch::find_next_plan(const base::upstream_id& engine) {
    const std::set<base::upstream_id> tried_before = this->request->tried;
    this->request->tried.insert(engine);
    const std::set<base::upstream_id>& silent = this->monitor->silent_others();
    this->request->tried.insert(silent.begin(), silent.end());
    std::optional<decision::engine_plan> plan;
    if (may_send_prompt(*this->progress))
        plan = find_free_engine_slot(*this->request, this->progress->size);
    if (!plan) {
        plan = decision::choose_colocated(this->request->state->instances, choice_context_of(*this->request),
                                          capacity_of(*this->request), this->progress->size,
                                          this->request->state->random);
        if (plan && !plan->has_room)
            plan.reset();
    }
    this->request->tried = tried_before;
    return plan;
}

bool stream_watch::try_claim_next(const base::upstream_id& engine, decision::attempt_kind kind) {
    if (!may_be_sent_again(*this->request))
        return false;
    if (should_forward(*this->request))
        return this->try_claim_other_host({});
    auto plan = this->find_next_plan(engine);
    if (!plan)
        return false;
    // The attempt in progress is recorded only when it has ended.
    decision::arrival_account after = this->request->record.arrivals;
    decision::record_arrival(after, kind, decision::attempt_result::late);
    const int retries = plan->prefill ? decision::retries_for_prompt_and_run(after) : 1;
    if (!try_reserve_retries(*this->request, retries))
        return false;
    const decision::instance_use use = {.requests = 1,
                                        .memory_tokens = memory_of(*this->request, *this->progress),
                                        .prompt_tokens =
                                            plan->prefill ? 0 : this->progress->size.prompt_tokens};
    // What is given back for a send that fails before it is made stays with the request.
    this->request->reserves_retries = true;
    this->claimed_next.emplace();
    this->claimed_next->reservation.emplace(*this->request->state, plan->decode, use);
    this->claimed_next->plan = std::move(plan);
    return true;
}

bool stream_watch::try_claim_other_host(const std::set<base::host_id>& excluded) {
    if (!may_be_sent_again(*this->request) || !has_forwarding_target(*this->request, excluded) ||
        !try_reserve_retries(*this->request, 1))
        return false;
    this->claimed_next.emplace();
    return true;
}

} // namespace postpaddle::gateway
