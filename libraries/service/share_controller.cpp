// SPDX-License-Identifier: BSD-2-Clause
#include <service/share_controller.h>

#include <host/rendezvous.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto request_interval = 400ms;
constexpr auto request_timeout = 500ms;
constexpr std::string_view organisation_prefix = "organisation:";
constexpr std::string_view upstream_prefix = "upstream:";
/// Minimum demand for an engine, so that hosts without work for it still receive its load.
constexpr double min_engine_demand = 0.01;

} // namespace

void share_controller::start() {
    wire::spawn_coroutine(*this->control->context,
                          [this](wire::yield_context yield) { this->request_shares_forever(yield); });
}

std::map<std::string, double> share_controller::demands() const {
    std::map<std::string, double> found;
    for (const auto& demand : this->control->limits->demands(this->control->clock->now()))
        found[std::string(organisation_prefix) + demand.organisation.value] = demand.amount;
    this->control->decision->inspect([&found](const decision::router_state& state) {
        const double queued = static_cast<double>(decision::queued_requests(state));
        for (const decision::engine_state& engine : state.engines)
            if (engine.is_present)
                found[std::string(upstream_prefix) + engine.facts.id.value] =
                    min_engine_demand + decision::reserved_slots(engine) +
                    queued / static_cast<double>(state.engines.size());
    });
    return found;
}

void share_controller::request_shares_forever(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        const auto working = this->control->working_hosts();
        std::map<std::string, std::pair<host::member, share_request>> requests_by_owner;
        for (const auto& [key, amount] : this->demands()) {
            const auto owner = host::rendezvous_owner(working, key);
            if (!owner)
                continue;
            auto& [member, request] = requests_by_owner[owner->name.value];
            member = *owner;
            request.host = this->control->members.self.name.value;
            request.demands[key] = amount;
        }
        for (const auto& [name, item] : requests_by_owner) {
            if (this->control->is_self(item.first)) {
                this->apply_response(this->grant(item.second));
                continue;
            }
            wire::spawn_coroutine(*this->control->context,
                                  [this, owner = item.first, request = item.second](wire::yield_context own) {
                                      this->request_shares(owner, request, own);
                                  });
        }
        host::evict_idle(this->table, this->control->clock->now());
        this->control->pause(request_interval, yield);
    }
}

void share_controller::request_shares(const host::member& owner, const share_request& request,
                                      wire::yield_context yield) {
    const auto text =
        this->control->peers->call(owner.peers_address, "shares", encode(request), request_timeout, yield);
    if (!text)
        return;
    if (const auto answer = decode_share_response(*text))
        this->apply_response(*answer);
}

std::string share_controller::answer(const std::string& payload) {
    const auto request = decode_share_request(payload);
    return encode(request ? this->grant(*request) : share_response{});
}

share_response share_controller::grant(const share_request& request) {
    const base::time_point now = this->control->clock->now();
    const std::size_t hosts = this->control->working_hosts().size();
    const auto loads = this->upstreams->loads();
    share_response answer;
    for (const auto& [key, amount] : request.demands) {
        answer.shares[key] = host::grant_share(this->table, key, {request.host}, amount, hosts, now);
        if (!key.starts_with(upstream_prefix))
            continue;
        const auto load = loads.find(key.substr(upstream_prefix.size()));
        if (load != loads.end())
            answer.loads[load->first] = load->second;
    }
    return answer;
}

void share_controller::apply_response(const share_response& answer) {
    const base::time_point now = this->control->clock->now();
    for (const auto& [key, share] : answer.shares) {
        if (key.starts_with(organisation_prefix))
            this->control->limits->set_share({key.substr(organisation_prefix.size())}, share, now);
        if (key.starts_with(upstream_prefix))
            this->control->report_to_decision(
                decision::share_granted{{key.substr(upstream_prefix.size())}, share});
    }
    for (const auto& [upstream, load] : answer.loads)
        this->control->report_to_decision(
            decision::load_report_received{{upstream}, load.report, std::chrono::milliseconds(load.age_ms)});
}

} // namespace postpaddle::service
