// SPDX-License-Identifier: BSD-2-Clause
#include <host/membership.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace postpaddle::host {

namespace {

/// Order of liveness values within one (incarnation, version): the worse state is newer.
int rank(liveness life) { return static_cast<int>(life); }

bool is_newer(const member& left, const member& right) {
    return std::make_tuple(left.incarnation, left.version, rank(left.life)) >
           std::make_tuple(right.incarnation, right.version, rank(right.life));
}

/// Each change is sent with about 3 * log2(hosts) messages. Source: "SWIM" (2002), section 4.1.
int transmissions_for(const membership_state& state) {
    static constexpr double factor = 3;
    const double hosts = static_cast<double>(state.others.size()) + 2;
    return static_cast<int>(std::ceil(factor * std::log2(hosts)));
}

bool is_working(liveness life) { return life == liveness::alive || life == liveness::suspect; }

/// Failed hosts are probed until they are removed, so that both sides of a healed network partition find
/// each other.
bool is_probed(liveness life) { return life != liveness::left; }

void store(membership_state& state, const member& entry, base::time_point now) {
    known_member& known = state.others[entry.name];
    known.entry = entry;
    known.changed_at = now;
    known.transmissions_left = transmissions_for(state);
}

} // namespace

membership_state make_membership(const member& self, const membership_options& options) {
    membership_state state;
    state.options = options;
    state.self = self;
    state.random.seed(options.seed);
    return state;
}

void merge_member(membership_state& state, const member& entry, base::time_point now) {
    if (entry.name == state.self.name) {
        // Refutes a report that this incarnation is not alive.
        const bool is_about_me = entry.incarnation == state.self.incarnation;
        if (is_about_me && entry.version >= state.self.version && entry.life != state.self.life) {
            state.self.version = entry.version + 1;
        }
        return;
    }
    const auto found = state.others.find(entry.name);
    if (found == state.others.end()) {
        if (is_working(entry.life))
            store(state, entry, now);
        return;
    }
    if (is_newer(entry, found->second.entry))
        store(state, entry, now);
}

void add_listed_member(membership_state& state, const base::host_id& name, const std::string& peers_address,
                       base::time_point now) {
    if (name == state.self.name || state.others.contains(name))
        return;
    member entry;
    entry.name = name;
    entry.peers_address = peers_address;
    store(state, entry, now);
    state.others[name].transmissions_left = 0;
}

std::optional<member> next_probe(membership_state& state) {
    while (true) {
        while (!state.probe_order.empty()) {
            const base::host_id name = state.probe_order.back();
            state.probe_order.pop_back();
            const auto found = state.others.find(name);
            if (found != state.others.end() && is_probed(found->second.entry.life))
                return found->second.entry;
        }
        for (const auto& [name, known] : state.others)
            if (is_probed(known.entry.life))
                state.probe_order.push_back(name);
        if (state.probe_order.empty())
            return std::nullopt;
        std::ranges::shuffle(state.probe_order, state.random);
    }
}

std::vector<member> indirect_probers(membership_state& state, const base::host_id& target,
                                     std::size_t count) {
    std::vector<member> candidates;
    for (const auto& [name, known] : state.others)
        if (name != target && known.entry.life == liveness::alive)
            candidates.push_back(known.entry);
    std::ranges::shuffle(candidates, state.random);
    if (candidates.size() > count)
        candidates.resize(count);
    return candidates;
}

void did_miss_probe(membership_state& state, const base::host_id& name, base::time_point now) {
    const auto found = state.others.find(name);
    if (found == state.others.end() || found->second.entry.life != liveness::alive)
        return;
    member entry = found->second.entry;
    entry.life = liveness::suspect;
    store(state, entry, now);
}

std::vector<member> advance(membership_state& state, base::time_point now) {
    std::vector<member> failed;
    std::erase_if(state.others, [&](const auto& item) {
        const known_member& known = item.second;
        return !is_working(known.entry.life) && now - known.changed_at > state.options.forget;
    });
    for (auto& [name, known] : state.others) {
        if (known.entry.life != liveness::suspect || now - known.changed_at < state.options.suspicion)
            continue;
        member entry = known.entry;
        entry.life = liveness::failed;
        failed.push_back(entry);
    }
    for (const member& entry : failed)
        store(state, entry, now);
    return failed;
}

std::vector<member> updates_to_send(membership_state& state, const base::host_id& receiver) {
    std::vector<member> updates{state.self};
    // A receiver that is considered not alive must learn of it, so that it can refute it.
    const auto about = state.others.find(receiver);
    if (about != state.others.end() && about->second.entry.life != liveness::alive)
        updates.push_back(about->second.entry);
    std::vector<known_member*> waiting;
    for (auto& [name, known] : state.others)
        if (known.transmissions_left > 0)
            waiting.push_back(&known);
    std::ranges::stable_sort(waiting, std::ranges::greater{}, &known_member::transmissions_left);
    for (known_member* const known : waiting) {
        if (updates.size() > state.options.updates_per_message)
            break;
        --known->transmissions_left;
        updates.push_back(known->entry);
    }
    return updates;
}

void change_self(membership_state& state, const member& changed) {
    const std::uint64_t version = state.self.version + 1;
    state.self = changed;
    state.self.version = version;
}

std::vector<member> working_members(const membership_state& state) {
    std::vector<member> members;
    if (!state.self.is_draining && state.self.life == liveness::alive)
        members.push_back(state.self);
    for (const auto& [name, known] : state.others)
        if (is_working(known.entry.life) && !known.entry.is_draining && known.entry.incarnation != 0)
            members.push_back(known.entry);
    std::ranges::sort(members, {}, &member::name);
    return members;
}

bool is_gone(const membership_state& state, const base::host_id& name, std::uint64_t incarnation) {
    if (name == state.self.name)
        return incarnation < state.self.incarnation;
    const auto found = state.others.find(name);
    if (found == state.others.end())
        return false;
    const member& entry = found->second.entry;
    return incarnation < entry.incarnation || (incarnation == entry.incarnation && !is_working(entry.life));
}

const char* to_text(liveness life) {
    switch (life) {
    case liveness::alive:
        return "alive";
    case liveness::suspect:
        return "suspect";
    case liveness::failed:
        return "failed";
    case liveness::left:
        return "left";
    }
    return "";
}

} // namespace postpaddle::host
