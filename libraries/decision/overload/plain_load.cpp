// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/plain_load.h>

#include <decision/overload/upstream_pace.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Ages are sent in whole milliseconds. A host's second report of the same response, which may contain
/// further requests that it sent, is applied although it may seem slightly older.
constexpr base::duration age_tolerance = 2ms;
/// Time without a refusal after which an upstream is assumed to queue one request more. A limit that was
/// learned too low, or has been raised since, is corrected in this way.
constexpr base::duration queue_limit_lifetime = 5s;

int requests_in(const instance_load& load) {
    return std::clamp(load.running, 0, max_plain_requests) + std::clamp(load.waiting, 0, max_plain_requests);
}

void record_change(instance& target, int change, base::time_point now) {
    plain_load& known = target.plain;
    known.sent_requests = std::max(0, known.sent_requests + change);
    // Without loads there is nothing to correct.
    if (!known.has_latency.value_or(false))
        return known.own_changes.clear();
    while (!known.own_changes.empty() && now - known.own_changes.front().at >= plain_load_lifetime)
        known.own_changes.pop_front();
    known.own_changes.push_back({now, change});
}

/// Requests that this host has sent since the load was observed, less those that have ended.
int own_change_since_load(const plain_load& known) {
    int sum = 0;
    for (const request_change& one : known.own_changes)
        if (one.at > known.observed_at)
            sum += one.change;
    return sum;
}

/// Learns from a refusal how many requests the upstream queues.
void learn_from_refusal(plain_load& known, const instance_load& load, base::time_point now) {
    const int queued = requests_in(load) - std::clamp(load.slots, 1, max_plain_requests);
    // An upstream that refuses although it has free slots is not full.
    if (queued < 0)
        return;
    known.queue_limit = queued;
    known.queue_limit_confirmed_at = now;
}

/// Raises the number of queued requests if there was no refusal for some time.
void raise_queue_limit(plain_load& known, base::time_point now) {
    if (!known.queue_limit || *known.queue_limit >= max_plain_requests ||
        now - known.queue_limit_confirmed_at < queue_limit_lifetime)
        return;
    ++*known.queue_limit;
    known.queue_limit_confirmed_at = now;
}

/// Learns that the upstream queues at least the requests that wait there.
void learn_from_queue(plain_load& known, const instance_load& load) {
    if (known.queue_limit)
        known.queue_limit = std::max(*known.queue_limit, std::min(load.waiting, max_plain_requests));
}

} // namespace

void record_plain_start(instance& target, base::time_point now) { record_change(target, 1, now); }

void record_plain_end(instance& target, base::time_point now) { record_change(target, -1, now); }

void record_plain_load(instance& target, const instance_load& load, plain_response response,
                       base::time_point now) {
    plain_load& known = target.plain;
    known.has_latency = load.has_relative_latency;
    if (response == plain_response::refused)
        learn_from_refusal(known, load, now);
    if (response == plain_response::executed)
        raise_queue_limit(known, now);
    learn_from_queue(known, load);
    known.load = load;
    known.observed_at = now;
    known.is_observed_here = true;
    if (response != plain_response::executed)
        return;
    // Whether a report includes the request that it answers differs between upstreams. One without any
    // request shows that it does not.
    if (requests_in(load) == 0)
        known.excludes_answered = true;
    if (!known.excludes_answered)
        known.load.running = std::max(0, load.running - 1);
}

void receive_plain_load(instance& target, const instance_load& load, base::time_point observed_at,
                        base::time_point now, const base::host_id& source) {
    plain_load& known = target.plain;
    observed_at = std::min(observed_at, now);
    const bool is_same_source = !known.is_observed_here && known.observed_by == source;
    const base::duration tolerance = is_same_source ? age_tolerance : base::duration{};
    if (now - observed_at >= plain_load_lifetime || observed_at + tolerance < known.observed_at)
        return;
    // This host's own later requests at its own observation are more exact than a report of the same age.
    if (known.is_observed_here && observed_at <= known.observed_at)
        return;
    learn_from_queue(known, load);
    known.has_latency = load.has_relative_latency;
    known.load = load;
    known.observed_at = observed_at;
    known.is_observed_here = false;
    known.observed_by = source;
}

bool is_plain_load_known(const instance& target, base::time_point now) {
    return target.plain.observed_at != base::time_point{} &&
           now - target.plain.observed_at < plain_load_lifetime;
}

int plain_requests(const instance& target, base::time_point now) {
    const int own = target.plain.sent_requests;
    if (!is_plain_load_known(target, now))
        return own;
    return std::max(own, requests_in(target.plain.load) + own_change_since_load(target.plain));
}

double last_plain_requests(const instance& target, double seconds_per_end, base::time_point now) {
    const plain_load& known = target.plain;
    if (known.observed_at == base::time_point{})
        return 0;
    const double ended = base::to_seconds(now - known.observed_at) / seconds_per_end;
    return std::max(0.0, requests_in(known.load) - ended);
}

int plain_slots(const instance& target) {
    const int reported = target.plain.load.slots;
    return std::clamp(reported > 0 ? reported : target.entry.slots, 1, max_plain_requests);
}

double plain_relative_latency(const instance& target, base::time_point now) {
    static constexpr double usual_percent = 100;
    if (!is_plain_load_known(target, now))
        return 1;
    return std::clamp(target.plain.load.relative_latency_percent / usual_percent, min_pace, max_pace);
}

std::optional<instance_load> plain_load_to_report(const instance& target, base::duration max_age,
                                                  base::time_point now) {
    const plain_load& known = target.plain;
    const bool is_recent = known.is_observed_here && now - known.observed_at < max_age;
    if (!is_recent || !known.has_latency.value_or(false))
        return std::nullopt;
    instance_load load = known.load;
    load.running = std::max(0, load.running + own_change_since_load(known));
    return load;
}

} // namespace postpaddle::decision
