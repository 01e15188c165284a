// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/reach_prober.h>

#include <gateway/forwarding/upstream_reach.h>
#include <wire/http_client.h>

#include <algorithm>
#include <random>
#include <vector>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

constexpr base::duration probe_interval = 250ms;
/// Instances tried to confirm that this host's links work.
constexpr std::size_t max_confirmations = 3;

bool may_be_probed(const gateway_state& state, const decision::instance& known) {
    return known.state == decision::listing::listed &&
           !state.instances.evacuated.contains(known.entry.availability_zone);
}

/// Connects to an instance and records the outcome; returns whether it listens.
bool probe_instance(gateway_state& state, const base::upstream_id& id, const std::string& service,
                    const std::string& address, wire::yield_context yield) {
    const base::time_point started = state.clock->now();
    const wire::port_state port = wire::probe_port(*state.pool, address, wire::port_probe_timeout, yield);
    const bool is_listening = port == wire::port_state::listening;
    state.metrics->count(std::string("link_probes_total{result=\"") +
                         (is_listening ? "connected" : "not_connected") + "\"}");
    if (is_listening)
        did_connect_to_upstream(state, service, started);
    else
        did_fail_to_connect(state, id, started);
    return is_listening;
}

} // namespace

void reach_prober::start() {
    this->state->on_links_doubted = [this](const std::string& service) { this->did_doubt(service); };
}

void reach_prober::did_doubt(const std::string& service) {
    if (!this->probing.insert(service).second)
        return;
    wire::spawn_coroutine(*this->state->context, [this, service](wire::yield_context yield) {
        this->run(service, yield);
        this->probing.erase(service);
    });
}

void reach_prober::run(const std::string& service, wire::yield_context yield) {
    std::uniform_real_distribution<double> part(0.8, 1.2);
    wire::boot_timer timer(*this->state->context);
    wire::error_code ignored;
    do {
        this->probe(service, yield);
        timer.expires_after(base::scaled(probe_interval, part(this->state->random)));
        timer.async_wait(yield[ignored]);
    } while (is_service_unreachable(*this->state, service));
}

void reach_prober::probe(const std::string& service, wire::yield_context yield) {
    if (const decision::instance* const target = this->choose(service))
        (void)probe_instance(*this->state, base::upstream_id(target->entry.id), service,
                             std::string(target->entry.address), yield);
}

const decision::instance* reach_prober::choose(const std::string& service) {
    const decision::service_reachability& reach = this->state->instances.reachability[service];
    std::vector<const decision::instance*> all;
    std::vector<const decision::instance*> others;
    for (const auto& [id, known] : this->state->instances.by_id) {
        if (known.entry.service != service || !may_be_probed(*this->state, known))
            continue;
        all.push_back(&known);
        if (!reach.unreached.contains(id))
            others.push_back(&known);
    }
    const auto& candidates = others.empty() ? all : others;
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    return candidates[draw(this->state->random)];
}

namespace {

struct probe_target {
    base::upstream_id id;
    std::string service;
    std::string address;
};

/// A few random instances of the service other than `failed`; of any service if it has no other. Links to one
/// service may fail while those to another one work.
std::vector<probe_target> confirmation_targets(gateway_state& state, const base::upstream_id& failed,
                                               const std::string& service) {
    std::vector<probe_target> own;
    std::vector<probe_target> others;
    for (const auto& [id, known] : state.instances.by_id)
        if (id != failed && may_be_probed(state, known))
            (known.entry.service == service ? own : others)
                .push_back({id, known.entry.service, known.entry.address});
    std::vector<probe_target>& targets = own.empty() ? others : own;
    std::ranges::shuffle(targets, state.random);
    targets.resize(std::min(targets.size(), max_confirmations));
    return targets;
}

} // namespace

bool confirm_own_links(gateway_state& state, const base::upstream_id& failed, base::time_point failed_at,
                       wire::yield_context yield) {
    const decision::instance* const target = decision::find_instance(state.instances, failed);
    if (target == nullptr)
        return true;
    const std::string service = target->entry.service;
    if (decision::is_credible(state.instances.reachability[service], failed_at))
        return true;
    const auto targets = confirmation_targets(state, failed, service);
    for (const probe_target& other : targets)
        if (probe_instance(state, other.id, other.service, other.address, yield))
            return true;
    return targets.empty();
}

} // namespace postpaddle::gateway
