// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/plain_admission.h>

#include <decision/overload/plain_candidate.h>
#include <decision/overload/plain_wait.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Bounds of the time between two decisions on a waiting request. Below, checks cost more than they gain;
/// above, free slots stay unused.
constexpr base::duration min_recheck_delay = 5ms;
constexpr base::duration max_recheck_delay = 50ms;
/// Lower bound of `Retry-After`, as a fraction of the latency target.
constexpr double min_retry_fraction = 0.5;
constexpr base::duration min_retry_delay = 50ms;
constexpr double max_retry_fraction = 1.0 / 3;
/// Lower bound of `Retry-After` as a fraction of the time since a slot was free. This host knows only its own
/// queue, and an overload that has lasted long is expected to last on.
constexpr double busy_retry_fraction = 0.5;

template <class Predicate>
std::vector<const plain_candidate*> select(const std::vector<plain_candidate>& candidates,
                                           Predicate is_selected) {
    std::vector<const plain_candidate*> selected;
    for (const plain_candidate& one : candidates)
        if (is_selected(one))
            selected.push_back(&one);
    return selected;
}

/// State of one decision.
struct admission_step {
    const plain_request* request = nullptr;
    const std::vector<plain_candidate>* candidates = nullptr;
    plain_decision decision;
    plain_wait_facts wait_facts;

    [[nodiscard]] bool is_in_time(double expected_seconds) const {
        return this->wait_facts.waited + expected_seconds <= this->wait_facts.usable_target;
    }
};

void refuse(admission_step& step, plain_reason reason) {
    step.decision.action = plain_action::refuse;
    step.decision.reason = reason;
}

void wait(admission_step& step, plain_reason reason, double seconds) {
    step.decision.action = plain_action::wait;
    step.decision.reason = reason;
    step.decision.expected_wait = base::from_seconds(seconds);
}

void send_to(admission_step& step, plain_reason reason, const plain_candidate& chosen) {
    step.decision.action = plain_action::send;
    step.decision.reason = reason;
    step.decision.upstream = chosen.upstream->entry.id;
    step.decision.rounds = chosen.rounds();
    step.decision.expected_time = base::from_seconds(chosen.expected_seconds());
    step.decision.expected_wait = {};
}

/// Sends to an upstream where the request is in time, or else to a free slot.
bool try_send(admission_step& step, std::mt19937_64& random) {
    const auto in_time = select(*step.candidates, [&step](const plain_candidate& one) {
        return !one.is_full() && step.is_in_time(one.expected_seconds());
    });
    const auto is_free = [](const plain_candidate* one) { return one->has_free_slot(); };
    // A queue is used only where no slot is free, since how many requests it holds may be unknown.
    if (std::ranges::any_of(in_time, is_free)) {
        std::vector<const plain_candidate*> free;
        std::ranges::copy_if(in_time, std::back_inserter(free), is_free);
        send_to(step, plain_reason::in_time, choose_of_two(free, random));
        return true;
    }
    if (!in_time.empty()) {
        send_to(step, plain_reason::in_time, choose_of_two(in_time, random));
        return true;
    }
    const auto free = select(
        *step.candidates, [](const plain_candidate& one) { return one.has_free_slot() && !one.is_full(); });
    if (free.empty())
        return false;
    send_to(step, plain_reason::free_slot, choose_of_two(free, random));
    return true;
}

/// Decides on a request that would be late wherever it is sent.
void decide_late(admission_step& step) {
    const free_slot_wait first = wait_for_free_slot(*step.candidates, step.wait_facts.seconds_ahead);
    step.decision.expected_wait = base::from_seconds(first.until_sent);
    if (first.until_end > base::to_seconds(step.request->time_left))
        return refuse(step, plain_reason::not_before_end);
    if (!step.request->may_wait_late)
        return refuse(step, plain_reason::not_late);
    wait(step, plain_reason::wait_late, first.until_sent);
}

void decide_without_capacity(admission_step& step) {
    const bool can_be_in_time = step.is_in_time(base::to_seconds(step.decision.expected_time));
    if (step.request->ahead >= max_plain_waiting)
        return refuse(step, plain_reason::queue_full);
    if (const auto seconds =
            can_be_in_time ? seconds_until_in_time(*step.candidates, step.wait_facts) : std::nullopt)
        return wait(step, plain_reason::wait_in_time, *seconds);
    if (!can_be_in_time || step.request->may_be_late)
        return decide_late(step);
    step.decision.expected_wait = step.decision.expected_capacity;
    refuse(step, plain_reason::not_in_time);
}

/// Summarises the capacity of all candidates.
void summarise(admission_step& step) {
    const double usable_target = step.wait_facts.usable_target;
    double ends_per_second = 0;
    double fastest = std::numeric_limits<double>::max();
    // Requests that could be sent now and be in time.
    double places = 0;
    for (const plain_candidate& one : *step.candidates) {
        ends_per_second += 1 / one.seconds_per_end();
        fastest = std::min(fastest, one.service_seconds);
        places += std::max(0.0, std::min(one.full_at, usable_requests(one, usable_target)) - one.requests);
        step.decision.free_slots += static_cast<int>(std::max(0.0, one.slots - one.requests));
    }
    step.decision.is_scarce = places < step.request->competing_hosts;
    step.decision.upstreams = static_cast<int>(step.candidates->size());
    step.decision.spacing = base::from_seconds(std::max(1, step.request->competing_hosts) / ends_per_second);
    step.decision.expected_time = base::from_seconds(fastest);
    step.decision.in_time = base::from_seconds(usable_target - fastest);
}

/// Time since the first try by which the answer has to be expected. No later than the caller's time is up,
/// which may be before the latency target.
double usable_target_of(const plain_request& request) {
    return std::min(usable_target_fraction * base::to_seconds(request.latency_target),
                    base::to_seconds(request.waited + request.time_left));
}

} // namespace

bool may_be_late(const attempt_record& record, bool is_returning) {
    return is_returning || record.attempts > 0 || record.refusals > 0;
}

std::vector<base::upstream_id> members_of(const instance_table& table, const std::string& service) {
    std::vector<base::upstream_id> members;
    for (const auto& [id, known] : table.by_id)
        if (known.entry.service == service)
            members.push_back(id);
    return members;
}

bool is_admitted_by_load(const instance_table& table, const std::string& service,
                         const std::vector<base::upstream_id>& members) {
    bool is_any_reported = false;
    for (const base::upstream_id& id : members) {
        const instance* const known = find_listed_member(table, id, service);
        if (known == nullptr)
            continue;
        if (!known->plain.has_latency.value_or(true))
            return false;
        is_any_reported |= known->plain.has_latency.has_value();
    }
    return is_any_reported;
}

bool is_admitted_by_load(const instance_table& table, const std::string& service) {
    return is_admitted_by_load(table, service, members_of(table, service));
}

plain_decision decide_plain(const instance_table& table, const choice_context& context,
                            const plain_request& request, std::mt19937_64& random) {
    return decide_plain(table, members_of(table, context.service), context, request, random);
}

plain_decision decide_plain(const instance_table& table, const std::vector<base::upstream_id>& members,
                            const choice_context& context, plain_request request, std::mt19937_64& random,
                            const ahead_counter& count_ahead) {
    const std::vector<plain_candidate> candidates =
        find_plain_candidates(table, context, members, request.competing_hosts);
    const bool is_any_known = std::ranges::any_of(candidates, [&context](const plain_candidate& one) {
        return is_plain_load_known(*one.upstream, context.now);
    });
    if (!is_any_known)
        return {};
    admission_step step = {.request = &request,
                           .candidates = &candidates,
                           .decision = {},
                           .wait_facts = {.waited = base::to_seconds(request.waited),
                                          .usable_target = usable_target_of(request)}};
    summarise(step);
    if (count_ahead)
        request.ahead = count_ahead(step.decision.in_time);
    step.decision.ahead = request.ahead;
    step.wait_facts.seconds_ahead = base::to_seconds(step.decision.spacing) * request.ahead;
    step.decision.expected_capacity = base::from_seconds(
        seconds_until_capacity(candidates, step.wait_facts.usable_target) + step.wait_facts.seconds_ahead);
    if (!try_send(step, random))
        decide_without_capacity(step);
    return step.decision;
}

base::duration plain_retry_delay(const plain_decision& decision, const plain_request& request,
                                 std::mt19937_64& random) {
    std::uniform_real_distribution<double> spread(1, 2);
    const double shortest = std::max(base::to_seconds(min_retry_delay),
                                     min_retry_fraction * base::to_seconds(request.latency_target));
    const double until = std::max({shortest, base::to_seconds(decision.expected_capacity),
                                   busy_retry_fraction * base::to_seconds(request.busy_for),
                                   request.may_be_late ? base::to_seconds(decision.expected_wait) : 0.0});
    const double longest = max_retry_fraction * std::max(0.0, base::to_seconds(request.time_left));
    return base::from_seconds(std::min(longest, until * spread(random)));
}

base::duration plain_recheck_delay(const plain_decision& decision, std::mt19937_64& random) {
    static constexpr double least = 0.25;
    static constexpr double most = 0.75;
    std::uniform_real_distribution<double> spread(least, most);
    const base::duration delay = base::scaled(decision.spacing, spread(random));
    return std::clamp(delay, min_recheck_delay, max_recheck_delay);
}

double replacement_probability(const instance_table& table, const std::string& service, int competing_hosts) {
    return replacement_probability(table, service, members_of(table, service), competing_hosts);
}

double replacement_probability(const instance_table& table, const std::string& service,
                               const std::vector<base::upstream_id>& members, int competing_hosts) {
    static constexpr double least = 0.25;
    double capacity = 0;
    double own = 0;
    for (const base::upstream_id& id : members) {
        const instance* const known = find_listed_member(table, id, service);
        if (known == nullptr)
            continue;
        capacity += plain_slots(*known) + known->plain.queue_limit.value_or(0);
        own += known->plain.sent_requests;
    }
    return std::clamp(capacity / std::max(1, competing_hosts) / std::max(1.0, own), least, 1.0);
}

const char* to_text(plain_action action) {
    switch (action) {
    case plain_action::choose_without_load:
        return "choose_without_load";
    case plain_action::send:
        return "send";
    case plain_action::wait:
        return "wait";
    case plain_action::refuse:
        return "refuse";
    }
    return "unknown";
}

const char* to_text(plain_reason reason) {
    switch (reason) {
    case plain_reason::load_unknown:
        return "load_unknown";
    case plain_reason::in_time:
        return "in_time";
    case plain_reason::free_slot:
        return "free_slot";
    case plain_reason::wait_in_time:
        return "wait_in_time";
    case plain_reason::wait_late:
        return "wait_late";
    case plain_reason::not_in_time:
        return "not_in_time";
    case plain_reason::not_before_end:
        return "not_before_end";
    case plain_reason::queue_full:
        return "queue_full";
    case plain_reason::not_late:
        return "not_late";
    }
    return "unknown";
}

} // namespace postpaddle::decision
