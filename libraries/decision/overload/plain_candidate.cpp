// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/plain_candidate.h>

#include <decision/overload/plain_load.h>

#include <optional>

namespace postpaddle::decision {

namespace {

/// Additional time to an upstream in another availability zone.
constexpr double other_zone_seconds = 0.015;
/// Expected delay at an upstream with a failure rate of 1.
constexpr double failure_seconds = 0.5;
/// Weight of an upstream without a free slot in the random choice, in slots.
constexpr double busy_weight = 0.25;

bool is_measured(const instance& known) { return known.latency != make_estimate(known.latency.start); }

/// What is assumed of an upstream that is new to this host, since the upstreams of a service are alike.
struct service_figures {
    std::optional<double> usual_seconds; ///< Mean of those that have been measured.
    std::optional<int> queue_limit;      ///< Largest one known.
};

service_figures figures_of(const std::vector<plain_candidate>& candidates) {
    service_figures figures;
    double sum = 0;
    int count = 0;
    for (const plain_candidate& one : candidates) {
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
void estimate_requests(plain_candidate& one, int competing_hosts, base::time_point now) {
    const double own = one.upstream->plain.sent_requests;
    const double hosts = std::max(1, competing_hosts);
    const double share = std::max(1.0, one.slots / hosts);
    one.requests = std::max({last_plain_requests(*one.upstream, one.seconds_per_end(), now), own * hosts,
                             one.slots - share + own});
    one.full_at = own < share ? std::max(one.full_at, one.requests + 1) : one.requests;
}

void add_known_load(plain_candidate& one, const service_figures& figures, const choice_context& context) {
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

/// Draws one, with a probability that rises with its free slots.
const plain_candidate& draw(const std::vector<const plain_candidate*>& from, std::mt19937_64& random) {
    std::vector<double> weights;
    weights.reserve(from.size());
    for (const plain_candidate* const one : from)
        weights.push_back(std::max(busy_weight, one->slots - one->requests));
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return *from[distribution(random)];
}

} // namespace

const instance* find_listed_member(const instance_table& table, const base::upstream_id& id,
                                   const std::string& service) {
    const auto found = table.by_id.find(id);
    const bool is_member = found != table.by_id.end() && found->second.state == listing::listed &&
                           found->second.entry.service == service;
    return is_member ? &found->second : nullptr;
}

std::vector<plain_candidate> find_plain_candidates(const instance_table& table, const choice_context& context,
                                                   const std::vector<base::upstream_id>& members,
                                                   int competing_hosts) {
    std::vector<plain_candidate> found;
    found.reserve(members.size());
    for (const base::upstream_id& id : members) {
        const instance* const known = find_listed_member(table, id, context.service);
        if (known == nullptr || context.excluded.contains(id) || is_avoided(*known, context.now))
            continue;
        if (check_placement(table, context.limits, *known, context.now) == placement_verdict::allowed)
            found.push_back({.upstream = known});
    }
    const service_figures figures = figures_of(found);
    for (plain_candidate& one : found) {
        add_known_load(one, figures, context);
        if (!is_plain_load_known(*one.upstream, context.now))
            estimate_requests(one, competing_hosts, context.now);
    }
    return found;
}

const plain_candidate& choose_of_two(const std::vector<const plain_candidate*>& from,
                                     std::mt19937_64& random) {
    const plain_candidate& first = draw(from, random);
    const plain_candidate& second = draw(from, random);
    const auto cost = [](const plain_candidate& one) { return one.expected_seconds() + one.preference; };
    return cost(second) < cost(first) ? second : first;
}

} // namespace postpaddle::decision
