// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/plain_admission.h>

#include <decision/overload/rank.h>

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Additional time to an upstream in another availability zone.
constexpr double other_zone_seconds = 0.015;
/// Expected delay at an upstream with a failure rate of 1.
constexpr double failure_seconds = 0.5;
/// Weight of an upstream without a free slot in the random choice, in slots.
constexpr double busy_weight = 0.25;
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

/// An upstream that may be sent the request.
struct candidate {
    const instance* upstream = nullptr;
    double requests = 0;
    double slots = 1;
    double service_seconds = 0; ///< Current time for a request that does not queue.
    /// Requests from which it is full, as far as is known.
    double full_at = std::numeric_limits<double>::infinity();
    double preference = 0; ///< Seconds added to the expected time when two upstreams are compared.

    [[nodiscard]] double rounds() const { return std::max(1.0, (this->requests + 1) / this->slots); }
    [[nodiscard]] double expected_seconds() const { return this->service_seconds * this->rounds(); }
    [[nodiscard]] bool has_free_slot() const { return this->requests < this->slots; }
    [[nodiscard]] bool is_full() const { return this->requests >= this->full_at; }
    /// Time in which one request ends while all slots are busy.
    [[nodiscard]] double seconds_per_end() const { return this->service_seconds / this->slots; }
    [[nodiscard]] double seconds_until(double requests_then) const {
        return std::max(0.0, this->requests - requests_then) * this->seconds_per_end();
    }
};

bool is_measured(const instance& known) { return known.latency != make_estimate(known.latency.start); }

/// What is assumed of an upstream that is new to this host, since the upstreams of a service are alike.
struct service_figures {
    std::optional<double> usual_seconds; ///< Mean of those that have been measured.
    std::optional<int> queue_limit;      ///< Largest one known.
};

service_figures figures_of(const std::vector<candidate>& candidates) {
    service_figures figures;
    double sum = 0;
    int count = 0;
    for (const candidate& one : candidates) {
        const auto& limit = one.upstream->plain.queue_limit;
        if (limit)
            figures.queue_limit = std::max(*limit, figures.queue_limit.value_or(0));
        if (!is_measured(*one.upstream))
            continue;
        sum += one.upstream->latency.value;
        ++count;
    }
    if (count > 0)
        figures.usual_seconds = sum / count;
    return figures;
}

/// Estimates the requests at an upstream without known load among others with known load. All hosts choose it
/// at the same time, so this host sends it no more than its share of the slots until a response shows the
/// load. The largest of three figures counts: what remains of the last known load, the requests there if each
/// host has sent as many as this one, and a load that leaves just the rest of this host's share free.
void estimate_requests(candidate& one, int competing_hosts, base::time_point now) {
    const double own = one.upstream->plain.sent_requests;
    const double hosts = std::max(1, competing_hosts);
    const double share = std::max(1.0, one.slots / hosts);
    one.requests = std::max({last_plain_requests(*one.upstream, one.seconds_per_end(), now), own * hosts,
                             one.slots - share + own});
    one.full_at = own < share ? std::max(one.full_at, one.requests + 1) : one.requests;
}

void complete(candidate& one, const service_figures& figures, const choice_context& context) {
    const instance& known = *one.upstream;
    const double usual =
        is_measured(known) ? known.latency.value : figures.usual_seconds.value_or(known.latency.value);
    one.requests = plain_requests(known, context.now);
    one.slots = plain_slots(known);
    one.service_seconds = usual * plain_relative_latency(known, context.now);
    if (const auto limit = known.plain.queue_limit ? known.plain.queue_limit : figures.queue_limit)
        one.full_at = one.slots + *limit;
    one.preference = failure_seconds * known.health.failure_rate;
    if (known.entry.availability_zone != context.own_zone)
        one.preference += other_zone_seconds;
}

/// A listed instance of the service; none if it has changed since the service's instances were listed.
const instance* find_member(const instance_table& table, const base::upstream_id& id,
                            const std::string& service) {
    const auto found = table.by_id.find(id);
    const bool is_member = found != table.by_id.end() && found->second.state == listing::listed &&
                           found->second.entry.service == service;
    return is_member ? &found->second : nullptr;
}

std::vector<candidate> find_candidates(const instance_table& table, const choice_context& context,
                                       const std::vector<base::upstream_id>& members, int competing_hosts) {
    std::vector<candidate> found;
    found.reserve(members.size());
    for (const base::upstream_id& id : members) {
        const instance* const known = find_member(table, id, context.service);
        if (known == nullptr || context.excluded.contains(id) || is_avoided(*known, context.now))
            continue;
        if (check_placement(table, context.limits, *known, context.now) == placement_verdict::allowed)
            found.push_back({.upstream = known});
    }
    const service_figures figures = figures_of(found);
    for (candidate& one : found) {
        complete(one, figures, context);
        if (!is_plain_load_known(*one.upstream, context.now))
            estimate_requests(one, competing_hosts, context.now);
    }
    return found;
}

/// Draws one, with a probability that rises with its free slots.
const candidate& draw(const std::vector<const candidate*>& from, std::mt19937_64& random) {
    std::vector<double> weights;
    weights.reserve(from.size());
    for (const candidate* const one : from)
        weights.push_back(std::max(busy_weight, one->slots - one->requests));
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return *from[distribution(random)];
}

/// Power of two choices: hosts with the same view of the load do not all choose the same upstream.
const candidate& choose_of_two(const std::vector<const candidate*>& from, std::mt19937_64& random) {
    const candidate& first = draw(from, random);
    const candidate& second = draw(from, random);
    const auto cost = [](const candidate& one) { return one.expected_seconds() + one.preference; };
    return cost(second) < cost(first) ? second : first;
}

template <class Predicate>
std::vector<const candidate*> select(const std::vector<candidate>& candidates, Predicate is_selected) {
    std::vector<const candidate*> selected;
    for (const candidate& one : candidates)
        if (is_selected(one))
            selected.push_back(&one);
    return selected;
}

/// State of one decision.
struct admission_step {
    const plain_request* request = nullptr;
    const std::vector<candidate>* candidates = nullptr;
    plain_decision decision;
    double waited = 0;
    double usable_target = 0;

    [[nodiscard]] double seconds_ahead() const {
        return base::to_seconds(this->decision.spacing) * this->request->ahead;
    }
    [[nodiscard]] bool is_in_time(const candidate& one) const {
        return this->waited + one.expected_seconds() <= this->usable_target;
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

void send_to(admission_step& step, plain_reason reason, const candidate& chosen) {
    step.decision.action = plain_action::send;
    step.decision.reason = reason;
    step.decision.upstream = chosen.upstream->entry.id;
    step.decision.rounds = chosen.rounds();
    step.decision.expected_time = base::from_seconds(chosen.expected_seconds());
    step.decision.expected_wait = {};
}

/// Sends to an upstream where the request is in time, or else to a free slot.
bool try_send(admission_step& step, std::mt19937_64& random) {
    const auto in_time = select(
        *step.candidates, [&step](const candidate& one) { return !one.is_full() && step.is_in_time(one); });
    const auto is_free = [](const candidate* one) { return one->has_free_slot(); };
    // A queue is used only where no slot is free, since how many requests it holds may be unknown.
    if (std::ranges::any_of(in_time, is_free)) {
        std::vector<const candidate*> free;
        std::ranges::copy_if(in_time, std::back_inserter(free), is_free);
        send_to(step, plain_reason::in_time, choose_of_two(free, random));
        return true;
    }
    if (!in_time.empty()) {
        send_to(step, plain_reason::in_time, choose_of_two(in_time, random));
        return true;
    }
    const auto free =
        select(*step.candidates, [](const candidate& one) { return one.has_free_slot() && !one.is_full(); });
    if (free.empty())
        return false;
    send_to(step, plain_reason::free_slot, choose_of_two(free, random));
    return true;
}

/// Shortest wait after which the request would still be in time, in seconds; nullopt if there is none.
std::optional<double> seconds_until_in_time(const admission_step& step) {
    std::optional<double> shortest;
    for (const candidate& one : *step.candidates) {
        // Waiting helps only where the upstream is full: in its queue, the request would wait as long.
        const double full_at = std::min(one.full_at, std::max(one.slots, one.requests));
        const double until = one.seconds_until(full_at - 1) + step.seconds_ahead();
        const double then = one.service_seconds * std::max(1.0, full_at / one.slots);
        if (step.waited + until + then <= step.usable_target)
            shortest = std::min(shortest.value_or(until), until);
    }
    return shortest;
}

/// Decides on a request that would be late wherever it is sent.
void decide_late(admission_step& step) {
    double shortest = std::numeric_limits<double>::infinity();
    double until_end = std::numeric_limits<double>::infinity();
    for (const candidate& one : *step.candidates) {
        const double until = one.seconds_until(one.slots - 1) + step.seconds_ahead();
        if (until + one.service_seconds < until_end) {
            shortest = until;
            until_end = until + one.service_seconds;
        }
    }
    step.decision.expected_wait = base::from_seconds(shortest);
    if (until_end > base::to_seconds(step.request->time_left))
        return refuse(step, plain_reason::not_before_end);
    if (!step.request->may_wait_late)
        return refuse(step, plain_reason::not_late);
    wait(step, plain_reason::wait_late, shortest);
}

void decide_without_capacity(admission_step& step) {
    const double fastest = base::to_seconds(step.decision.expected_time);
    const bool can_be_in_time = step.waited + fastest <= step.usable_target;
    if (step.request->ahead >= max_plain_waiting)
        return refuse(step, plain_reason::queue_full);
    if (const auto seconds = can_be_in_time ? seconds_until_in_time(step) : std::nullopt)
        return wait(step, plain_reason::wait_in_time, *seconds);
    if (!can_be_in_time || step.request->may_be_late)
        return decide_late(step);
    step.decision.expected_wait = step.decision.expected_capacity;
    refuse(step, plain_reason::not_in_time);
}

/// Requests at an upstream up to which a new one is in time there.
double usable_requests(const admission_step& step, const candidate& one) {
    return std::max(one.slots, one.slots * step.usable_target / one.service_seconds);
}

/// Shortest time until an upstream could answer a new request in time.
double seconds_until_capacity(const admission_step& step) {
    double shortest = std::numeric_limits<double>::max();
    for (const candidate& one : *step.candidates) {
        shortest =
            std::min(shortest, one.seconds_until(std::min(one.full_at, usable_requests(step, one)) - 1));
    }
    return shortest;
}

void summarise(admission_step& step) {
    double ends_per_second = 0;
    double fastest = std::numeric_limits<double>::max();
    // Requests that could be sent now and be in time.
    double places = 0;
    for (const candidate& one : *step.candidates) {
        ends_per_second += 1 / one.seconds_per_end();
        fastest = std::min(fastest, one.service_seconds);
        places += std::max(0.0, std::min(one.full_at, usable_requests(step, one)) - one.requests);
        step.decision.free_slots += static_cast<int>(std::max(0.0, one.slots - one.requests));
    }
    step.decision.is_scarce = places < step.request->competing_hosts;
    step.decision.upstreams = static_cast<int>(step.candidates->size());
    step.decision.spacing = base::from_seconds(std::max(1, step.request->competing_hosts) / ends_per_second);
    step.decision.expected_time = base::from_seconds(fastest);
    step.decision.in_time = base::from_seconds(step.usable_target - fastest);
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
        const instance* const known = find_member(table, id, service);
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
    const std::vector<candidate> candidates =
        find_candidates(table, context, members, request.competing_hosts);
    const bool is_any_known = std::ranges::any_of(candidates, [&context](const candidate& one) {
        return is_plain_load_known(*one.upstream, context.now);
    });
    if (!is_any_known)
        return {};
    admission_step step = {.request = &request,
                           .candidates = &candidates,
                           .decision = {},
                           .waited = base::to_seconds(request.waited),
                           .usable_target = usable_target_of(request)};
    summarise(step);
    if (count_ahead)
        request.ahead = count_ahead(step.decision.in_time);
    step.decision.ahead = request.ahead;
    step.decision.expected_capacity = base::from_seconds(seconds_until_capacity(step) + step.seconds_ahead());
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
    const base::duration delay = base::from_seconds(base::to_seconds(decision.spacing) * spread(random));
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
        const instance* const known = find_member(table, id, service);
        if (known == nullptr)
            continue;
        capacity += plain_slots(*known) + known->plain.queue_limit.value_or(0);
        own += known->plain.sent_requests;
    }
    return std::clamp(capacity / std::max(1, competing_hosts) / std::max(1.0, own), least, 1.0);
}

queue_position last_position(base::time_point now) {
    return {.since = now, .in_time_until = base::time_point::min(), .rank = max_rank};
}

bool is_ahead(const queue_position& left, const queue_position& right, base::time_point now) {
    const auto key = [now](const queue_position& position) {
        const auto improvement =
            (now - position.since) / std::max<base::duration>(1ms, position.latency_target);
        const auto rank = std::max<base::duration::rep>(0, position.rank - improvement);
        return std::tuple(now > position.in_time_until, rank, position.since);
    };
    return key(left) < key(right);
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
