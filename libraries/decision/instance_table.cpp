// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_table.h>

#include <algorithm>
#include <set>
#include <utility>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Age at which a load report expires.
constexpr base::duration load_lifetime = 400ms;
/// Smoothing factor of the failure rate.
constexpr double failure_smoothing = 0.15;
constexpr base::duration min_ejection = 500ms;
constexpr base::duration max_ejection = 4'000ms;
/// Other hosts that must avoid an instance before this one does: the fault of a single one may be its own.
constexpr int min_avoiding_hosts = 2;
/// How long a successful response to this host outweighs the reports of others.
constexpr base::duration own_success_lifetime = 1'000ms;
/// How long an instance whose port refuses connections is considered exited; its registry entry expires
/// meanwhile.
constexpr base::duration exit_ejection = 4'000ms;
/// Consecutive error responses after which an instance is ejected.
constexpr int failures_to_eject = 3;

base::duration ejection_time(int failures) {
    static constexpr int max_doublings = 3;
    return std::min<base::duration>(max_ejection, min_ejection * (1 << std::min(failures, max_doublings)));
}

void eject(instance& target, base::duration length, base::time_point now) {
    target.health.ejected_until = std::max(target.health.ejected_until, now + length);
}

listing listing_of(const start_history& history) {
    if (current_start(history)->is_leaving)
        return listing::leaving;
    return is_removed(history) ? listing::vanished : listing::listed;
}

/// Replaces the instance and what is known of it, but for its history.
void replace_start(instance& known, const settings::upstream_entry& entry) {
    instance next;
    next.entry = entry;
    next.offset = known.offset;
    next.history = std::move(known.history);
    next.state = listing_of(next.history);
    next.is_remote = known.is_remote;
    // Keep the latency of the earlier start: an initial estimate above the other upstreams' times would never
    // be corrected, as they would always be preferred.
    next.latency = known.latency;
    known = std::move(next);
}

/// Takes over what an entry says of the current start.
void replace_entry(instance& known, const settings::upstream_entry& entry) {
    // A new stage completes the stage change that kept the engine out of service.
    if (known.entry.stage != entry.stage)
        known.health = {};
    known.entry = entry;
}

change_effect set_listing(instance& known, listing state) {
    return std::exchange(known.state, state) == state ? change_effect::none : change_effect::relisted;
}

change_effect apply_entry(instance& known, const registry_change& change) {
    const bool is_newest = change.offset >= known.offset;
    known.offset = std::max(known.offset, change.offset);
    record_entry(known.history, *change.entry, change.offset);
    const known_start& current = *current_start(known.history);
    const bool is_about_current = change.entry->start_time_ms == current.start_time_ms;
    if (is_about_current && known.entry.start_time_ms != current.start_time_ms) {
        replace_start(known, *change.entry);
        return change_effect::restarted;
    }
    const bool is_in_force = is_about_current && is_newest && !is_removed(known.history);
    if (is_in_force)
        replace_entry(known, *change.entry);
    return is_in_force || current.is_leaving ? set_listing(known, listing_of(known.history))
                                             : change_effect::none;
}

change_effect delist(instance_table& table, instance& known, registry_condition condition) {
    record_removal(known.history, known.offset);
    if (known.state != listing::listed)
        return change_effect::none;
    const bool is_doubtful = condition == registry_condition::failing;
    table.has_unlisted |= is_doubtful;
    return set_listing(known, is_doubtful ? listing::unlisted : listing::vanished);
}

/// How long a load report about a remote engine remains valid. Short compared with the time that requests
/// occupy their slots, about two seconds.
constexpr base::duration remote_load_lifetime = 250ms;
/// How long a refusal counts as evidence of unreported memory use.
constexpr base::duration refusal_lifetime = 1'000ms;

/// Weight of the last load report: 1 when received, falling linearly to 0.
double load_freshness(const instance& target, base::time_point now) {
    if (target.load_received_at == base::time_point{} || now - target.load_received_at >= load_lifetime)
        return 0;
    return 1 - base::to_seconds(now - target.load_received_at) / base::to_seconds(load_lifetime);
}

} // namespace

instance_use& operator+=(instance_use& left, const instance_use& right) {
    left.requests += right.requests;
    left.memory_tokens += right.memory_tokens;
    left.prompt_tokens += right.prompt_tokens;
    return left;
}

instance_use& operator-=(instance_use& left, const instance_use& right) {
    left.requests -= right.requests;
    left.memory_tokens -= right.memory_tokens;
    left.prompt_tokens -= right.prompt_tokens;
    return left;
}

namespace {

/// Applies a record about an upstream that the table does not hold.
change_effect apply_to_absent(instance_table& table, const registry_change& change) {
    const bool is_departed = table.departed.by_id.contains(change.id);
    auto history = try_restore(table.departed, {change.id, change.entry, change.offset});
    if (is_departed && !history)
        return change_effect::none;
    if (!change.entry) {
        // An earlier record of it may still come.
        departed_start tombstone = {.history = {}, .offset = change.offset};
        record_removal(tombstone.history, change.offset);
        record_departed(table.departed, change.id, std::move(tombstone));
        return change_effect::none;
    }
    if (!history)
        record_entry(history.emplace(), *change.entry, change.offset);
    instance& known = table.by_id[change.id];
    known.offset = change.offset;
    known.history = std::move(*history);
    replace_start(known, *change.entry);
    return change_effect::relisted;
}

} // namespace

change_effect apply_change(instance_table& table, const registry_change& change,
                           registry_condition condition) {
    const auto found = table.by_id.find(change.id);
    if (found == table.by_id.end())
        return apply_to_absent(table, change);
    instance& known = found->second;
    if (change.entry)
        return apply_entry(known, change);
    if (change.offset < known.offset)
        return change_effect::none;
    known.offset = change.offset;
    return delist(table, known, condition);
}

std::vector<base::upstream_id> apply_snapshot(instance_table& table, const registry_snapshot& snapshot,
                                              registry_condition condition) {
    std::vector<base::upstream_id> changed;
    std::set<base::upstream_id> named(snapshot.unreadable.begin(), snapshot.unreadable.end());
    for (const registry_change& entry : snapshot.entries) {
        named.insert(entry.id);
        if (apply_change(table, entry, condition) != change_effect::none)
            changed.push_back(entry.id);
    }
    for (auto& [id, known] : table.by_id) {
        if (named.contains(id) || known.offset >= snapshot.end)
            continue;
        // Its removal is among the records that the listing covers. An older listing may still name it.
        known.offset = snapshot.end - 1;
        if (delist(table, known, condition) != change_effect::none)
            changed.push_back(id);
    }
    return changed;
}

std::vector<base::upstream_id> expire_unlisted(instance_table& table) {
    std::vector<base::upstream_id> settled;
    if (!std::exchange(table.has_unlisted, false))
        return settled;
    for (auto& [id, known] : table.by_id) {
        if (known.state != listing::unlisted)
            continue;
        known.state = listing::vanished;
        settled.push_back(id);
    }
    return settled;
}

bool record_leaving(instance& target, base::time_point now) {
    if (target.state == listing::leaving)
        return false;
    target.state = listing::leaving;
    target.leaving_since = now;
    record_shutdown(target.history, target.entry, target.offset);
    return true;
}

void remove_gone(instance_table& table) {
    // Enough for operators to see what has become of an upstream that has left a small deployment.
    static constexpr std::size_t max_instances = 512;
    if (table.by_id.size() <= max_instances)
        return;
    std::erase_if(table.by_id, [&](const auto& item) {
        const auto& [id, known] = item;
        const bool has_gone = known.state == listing::vanished || known.state == listing::leaving;
        if (!has_gone || known.own.requests != 0)
            return false;
        record_departed(table.departed, id, {.history = known.history, .offset = known.offset});
        return true;
    });
}

instance* find_instance(instance_table& table, const base::upstream_id& id) {
    const auto found = table.by_id.find(id);
    return found == table.by_id.end() ? nullptr : &found->second;
}

void record_outcome(instance& target, attempt_outcome outcome, base::time_point now) {
    instance_health& health = target.health;
    // A busy response says nothing about whether the upstream would have succeeded.
    if (outcome == attempt_outcome::busy)
        return;
    const bool is_failure = outcome != attempt_outcome::good && outcome != attempt_outcome::closed;
    health.failure_rate += failure_smoothing * ((is_failure ? 1.0 : 0.0) - health.failure_rate);
    if (outcome == attempt_outcome::good) {
        health.failures_in_row = 0;
        health.last_success = now;
        health.ejected_until = {};
        health.out_of_service_until = {};
        health.unreached_at = {};
        return;
    }
    if (outcome == attempt_outcome::closed) {
        eject(target, min_ejection, now);
        return;
    }
    ++health.failures_in_row;
    if (outcome == attempt_outcome::exited) {
        put_out_of_service(target, now + exit_ejection);
        return;
    }
    if (outcome == attempt_outcome::unreachable || health.failures_in_row >= failures_to_eject)
        eject(target, ejection_time(health.failures_in_row - 1), now);
}

void record_unreached(instance& target, base::time_point now) { target.health.unreached_at = now; }

void restore_unreached(instance_table& table, const std::string& service, base::time_point since) {
    for (auto& [id, known] : table.by_id) {
        instance_health& health = known.health;
        if (known.entry.service != service || health.unreached_at == base::time_point{} ||
            health.unreached_at < since)
            continue;
        health.failures_in_row = 0;
        health.ejected_until = {};
        health.out_of_service_until = {};
        health.unreached_at = {};
    }
}

bool is_failure_credible(const instance_table& table, const instance& target) {
    const base::time_point failed_at = target.health.unreached_at;
    if (failed_at == base::time_point{})
        return true;
    const auto reach = table.reachability.find(target.entry.service);
    return reach != table.reachability.end() && is_credible(reach->second, failed_at);
}

std::size_t count_listed(const instance_table& table, const std::string& service) {
    return static_cast<std::size_t>(std::ranges::count_if(table.by_id, [&service](const auto& item) {
        return item.second.state == listing::listed && item.second.entry.service == service;
    }));
}

void record_spurious_refusal(instance& target) {
    double& rate = target.health.failure_rate;
    rate += failure_smoothing * (1 - rate);
}

void put_out_of_service(instance& target, base::time_point until) {
    target.health.out_of_service_until = until;
    target.health.ejected_until = std::max(target.health.ejected_until, until);
}

void record_backoff(instance& target, base::duration backoff, base::time_point now) {
    // Never shortened: a later response may belong to an earlier request.
    target.backoff_until = std::max(target.backoff_until, now + backoff);
}

bool is_backing_off(const instance& target, base::time_point now) { return now < target.backoff_until; }

void record_load(instance& target, const instance_load& load, base::time_point now) {
    target.load = load;
    target.own_requests_at_load = target.own.requests;
    target.load_received_at = now;
}

void record_refusal(instance& target, double free_tokens, base::time_point now) {
    target.unreported_tokens = unreported_memory(target, now) + std::max(0.0, free_tokens);
    target.unreported_at = now;
}

double unreported_memory(const instance& target, base::time_point now) {
    if (target.unreported_tokens <= 0 || now - target.unreported_at >= refusal_lifetime)
        return 0;
    const double age = base::to_seconds(now - target.unreported_at) / base::to_seconds(refusal_lifetime);
    return target.unreported_tokens * (1 - age);
}

double others_requests(const instance& target, base::time_point now) {
    const int others = target.load.running + target.load.waiting - target.own_requests_at_load;
    return std::max(0, others) * load_freshness(target, now);
}

double relative_latency(const instance& target, base::time_point now) {
    static constexpr double usual_percent = 100;
    return 1 + (target.load.relative_latency_percent / usual_percent - 1) * load_freshness(target, now);
}

bool is_load_known(const instance& target, base::time_point now) {
    return !target.is_remote || (target.others_reported_at != base::time_point{} &&
                                 now - target.others_reported_at < remote_load_lifetime);
}

bool is_ejected(const instance& target, base::time_point now) { return now < target.health.ejected_until; }

bool is_out_of_service(const instance& target, base::time_point now) {
    return now < target.health.out_of_service_until;
}

namespace {

/// Whether it answered this host so recently that other hosts' trouble must be with their links.
bool has_answered_here(const instance& target, base::time_point now) {
    return target.health.last_success != base::time_point{} &&
           now - target.health.last_success < own_success_lifetime;
}

/// Whether another host's word about it counts here. An engine may be changing its stage, and still answer
/// what it began before.
bool does_word_count(const instance& target, base::time_point now) {
    const bool is_engine = target.entry.stage != settings::engine_stage::none;
    return is_engine || !has_answered_here(target, now);
}

bool is_taken_for_ended(const instance& target, base::time_point now) {
    return target.is_out_of_service_elsewhere && does_word_count(target, now);
}

} // namespace

int count_avoiding_hosts(const instance& target, base::time_point now) {
    return does_word_count(target, now) ? target.avoided_by : 0;
}

bool is_avoided(const instance& target, base::time_point now) {
    const bool is_avoided_elsewhere =
        target.avoided_by >= min_avoiding_hosts && !has_answered_here(target, now);
    return is_ejected(target, now) || is_taken_for_ended(target, now) || is_avoided_elsewhere;
}

bool is_last_resort(const instance& target, base::time_point now) {
    const bool has_ended = is_out_of_service(target, now) || is_taken_for_ended(target, now);
    const bool is_reached = target.health.unreached_at == base::time_point{};
    const bool has_failed = target.health.failures_in_row >= failures_to_eject;
    return !has_ended && is_reached && (has_failed || !is_ejected(target, now));
}

const char* to_text(listing state) {
    switch (state) {
    case listing::listed:
        return "listed";
    case listing::leaving:
        return "leaving";
    case listing::vanished:
        return "vanished";
    case listing::unlisted:
        return "unlisted";
    }
    return "unknown";
}

} // namespace postpaddle::decision
