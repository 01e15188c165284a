// SPDX-License-Identifier: BSD-2-Clause
#include <host/peer_load_table.h>

#include <base/hashing.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

using namespace std::chrono_literals;

/// Reports expire after this time: the host has stopped or is unreachable.
constexpr base::duration report_lifetime = 3s;

/// Incarnations are wall-clock times, which may have been set back between two starts. An older incarnation
/// is therefore accepted once the previous report has expired.
bool is_newer(const load_report& next, const received_report& known, base::time_point now) {
    if (next.incarnation != known.report.incarnation)
        return next.incarnation > known.report.incarnation || now - known.received_at >= report_lifetime;
    return next.sequence > known.report.sequence;
}

void decrement(std::map<instance_key, int>& counts, instance_key key) {
    if (--counts[key] <= 0)
        counts.erase(key);
}

void subtract_shares(peer_load_table& peer_loads, const load_report& report) {
    // Sums of rounded values may leave a remainder.
    static constexpr double min_tokens = 0.5;
    for (const auto& [key, tokens] : report.share_tokens) {
        double& total = peer_loads.share_total[key];
        total -= tokens;
        if (total < min_tokens)
            peer_loads.share_total.erase(key);
    }
}

void subtract(peer_load_table& peer_loads, const load_report& report) {
    for (const auto& [key, use] : report.uses) {
        decision::instance_use& total = peer_loads.total[key];
        total -= use;
        if (total.requests <= 0)
            peer_loads.total.erase(key);
    }
    for (const instance_key key : report.avoided)
        decrement(peer_loads.avoided_by, key);
    for (const instance_key key : report.out_of_service)
        decrement(peer_loads.out_of_service_by, key);
    subtract_shares(peer_loads, report);
}

template <class T> T value_at(const std::map<instance_key, T>& values, instance_key key) {
    const auto found = values.find(key);
    return found == values.end() ? T{} : found->second;
}

/// Appends the keys that are in exactly one of the lists.
void add_differences(std::vector<instance_key>& keys, std::vector<instance_key> left,
                     std::vector<instance_key> right) {
    std::ranges::sort(left);
    std::ranges::sort(right);
    std::ranges::set_symmetric_difference(left, right, std::back_inserter(keys));
}

bool is_any_missing(const std::vector<instance_key>& before, const std::vector<instance_key>& after) {
    return std::ranges::any_of(
        before, [&after](instance_key key) { return std::ranges::find(after, key) == after.end(); });
}

/// Determines which totals change when a host's report `before` is replaced by `after`.
report_change change_between(const load_report& before, const load_report& after) {
    report_change change;
    for (const auto& [key, use] : before.uses) {
        const decision::instance_use now = value_at(after.uses, key);
        if (now == use)
            continue;
        change.keys.push_back(key);
        change.has_freed_capacity |= now.requests < use.requests || now.memory_tokens < use.memory_tokens;
    }
    for (const auto& [key, use] : after.uses)
        if (!before.uses.contains(key))
            change.keys.push_back(key);
    add_differences(change.keys, before.avoided, after.avoided);
    add_differences(change.keys, before.out_of_service, after.out_of_service);
    std::ranges::sort(change.keys);
    // NOTE: `std::ranges::unique` is not supported by the linter's compiler.
    change.keys.erase(std::unique(change.keys.begin(), change.keys.end()), change.keys.end());
    change.has_freed_capacity |= is_any_missing(before.avoided, after.avoided) ||
                                 is_any_missing(before.out_of_service, after.out_of_service) ||
                                 after.waiters.size() < before.waiters.size();
    return change;
}

void apply_sum(decision::instance& known, const peer_load_table& peer_loads, instance_key key) {
    // For engines of other cells the totals are incomplete: only some of the hosts that use them report
    // here.
    if (!known.is_remote)
        known.others = value_at(peer_loads.total, key);
    known.avoided_by = value_at(peer_loads.avoided_by, key);
    known.is_out_of_service_elsewhere = peer_loads.out_of_service_by.contains(key);
}

} // namespace

instance_key key_of(const base::upstream_id& id, std::uint64_t start_time_ms) {
    return static_cast<instance_key>(base::hash64(id.value, start_time_ms));
}

organisation_key key_of(const base::organisation_id& id) {
    return static_cast<organisation_key>(base::hash64(id.value));
}

share_key key_of(const std::string& service, const base::organisation_id& organisation) {
    return static_cast<share_key>(base::hash64(service + '\0' + organisation.value));
}

bool is_newer(const peer_load_table& peer_loads, const load_report& report, base::time_point now) {
    const auto known = peer_loads.by_host.find(report.host);
    return known == peer_loads.by_host.end() || is_newer(report, known->second, now);
}

std::optional<report_change> apply_report(peer_load_table& peer_loads, const load_report& report,
                                          base::time_point now) {
    if (!is_newer(peer_loads, report, now))
        return std::nullopt;
    const auto found = peer_loads.by_host.try_emplace(report.host).first;
    report_change change = change_between(found->second.report, report);
    subtract(peer_loads, found->second.report);
    for (const auto& [key, use] : report.uses)
        peer_loads.total[key] += use;
    for (const instance_key key : report.avoided)
        ++peer_loads.avoided_by[key];
    for (const instance_key key : report.out_of_service)
        ++peer_loads.out_of_service_by[key];
    for (const auto& [key, tokens] : report.share_tokens)
        peer_loads.share_total[key] += tokens;
    found->second = {report, now};
    return change;
}

void apply_sums(decision::instance_table& table, peer_load_table& peer_loads,
                std::span<const instance_key> keys) {
    if (peer_loads.id_of.size() != table.by_id.size()) {
        apply_all_sums(table, peer_loads);
        return;
    }
    for (const instance_key key : keys)
        if (decision::instance* const known = find_by_key(table, peer_loads, key))
            apply_sum(*known, peer_loads, key);
}

decision::instance* find_by_key(decision::instance_table& table, peer_load_table& peer_loads,
                                instance_key key) {
    if (peer_loads.id_of.size() != table.by_id.size())
        apply_all_sums(table, peer_loads);
    const auto id = peer_loads.id_of.find(key);
    return id == peer_loads.id_of.end() ? nullptr : decision::find_instance(table, id->second);
}

void apply_instance_sums(decision::instance_table& table, peer_load_table& peer_loads,
                         const base::upstream_id& id) {
    decision::instance* const known = decision::find_instance(table, id);
    if (known == nullptr)
        return;
    const instance_key key = key_of(id, known->entry.start_time_ms);
    peer_loads.id_of[key] = id;
    apply_sum(*known, peer_loads, key);
}

void apply_all_sums(decision::instance_table& table, peer_load_table& peer_loads) {
    peer_loads.id_of.clear();
    for (auto& [id, known] : table.by_id) {
        const instance_key key = key_of(id, known.entry.start_time_ms);
        peer_loads.id_of[key] = id;
        apply_sum(known, peer_loads, key);
    }
}

bool expire_silent_hosts(peer_load_table& peer_loads, base::time_point now) {
    bool has_expired = false;
    for (auto& [host, received] : peer_loads.by_host) {
        const bool is_empty = received.report.uses.empty() && received.report.waiters.empty() &&
                              received.report.avoided.empty() && received.report.share_tokens.empty();
        if (is_empty || now - received.received_at < report_lifetime)
            continue;
        subtract(peer_loads, received.report);
        received.report.uses.clear();
        received.report.waiters.clear();
        received.report.avoided.clear();
        received.report.out_of_service.clear();
        received.report.share_tokens.clear();
        has_expired = true;
    }
    return has_expired;
}

std::vector<reported_load> loads_to_report(const decision::instance_table& table, base::time_point now) {
    std::vector<reported_load> loads;
    for (const auto& [id, known] : table.by_id) {
        if (known.is_remote || known.entry.stage == settings::engine_stage::none ||
            known.state != decision::listing::listed)
            continue;
        decision::instance_use use = known.own;
        use += known.others;
        const bool is_avoided =
            decision::is_failure_credible(table, known) && decision::is_avoided(known, now);
        loads.push_back({key_of(id, known.entry.start_time_ms), use, is_avoided});
    }
    return loads;
}

void apply_reported_loads(decision::instance_table& table, peer_load_table& peer_loads,
                          std::span<const reported_load> loads, base::time_point now) {
    for (const reported_load& reported : loads) {
        decision::instance* const known = find_by_key(table, peer_loads, reported.key);
        if (known == nullptr || !known->is_remote || reported.is_avoided)
            continue;
        // The reported total includes this host's own requests.
        known->others = reported.use;
        known->others -= known->own;
        known->others.requests = std::max(0, known->others.requests);
        known->others.memory_tokens = std::max(0.0, known->others.memory_tokens);
        known->others.prompt_tokens = std::max(0.0, known->others.prompt_tokens);
        known->others_reported_at = now;
    }
}

std::vector<decision::waiter> all_waiters(const peer_load_table& peer_loads, base::time_point now) {
    std::vector<decision::waiter> waiters;
    for (const auto& [host, received] : peer_loads.by_host)
        for (decision::waiter other : received.report.waiters) {
            other.waited += now - received.received_at;
            waiters.push_back(other);
        }
    return waiters;
}

} // namespace postpaddle::host
