// SPDX-License-Identifier: BSD-2-Clause
#include <service/membership_controller.h>

#include <base/json_parser.h>
#include <service/log.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto probe_timeout = 400ms;
constexpr auto indirect_timeout = 900ms;
constexpr std::size_t indirect_probe_count = 2;
constexpr auto list_poll_interval = 1'000ms;
/// Interval at which new suspect reports are forwarded, and the number of hosts that each is forwarded to. A
/// host forwards a report only when it first receives it.
constexpr auto suspects_poll_interval = 50ms;
constexpr std::size_t suspects_fanout = 16;
constexpr std::size_t announce_count = 3;
/// A peer that received a response from the log within this time counts as evidence that the log is
/// available.
constexpr std::int64_t max_fresh_log_age_ms = 5'000;
/// Sent as `log_age_ms` if the log has not responded yet.
constexpr std::int64_t no_log_response_age_ms = 1'000'000'000;

} // namespace

membership_controller::membership_controller(control_context& control)
    : control(&control), host_list(*control.context, control.process->host_list_address) {}

void membership_controller::start() {
    wire::asio::io_context& context = *this->control->context;
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->run_probes(yield); });
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->poll_host_list(yield); });
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->broadcast_suspects(yield); });
}

std::string membership_controller::make_gossip(const base::host_id& receiver) {
    gossip_message message;
    message.members = host::updates_to_send(this->control->members, receiver);
    message.log_age_ms = no_log_response_age_ms;
    if (this->control->last_log_response_at) {
        const auto age = this->control->clock->now() - *this->control->last_log_response_at;
        message.log_age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    }
    const base::time_point now = this->control->clock->now();
    message.suspects = this->control->quarantine->reports_to_send(now);
    return encode(message, now);
}

void membership_controller::handle_gossip(const gossip_message& message) {
    const base::time_point now = this->control->clock->now();
    for (const host::member& entry : message.members)
        host::merge_member(this->control->members, entry, now);
    this->control->last_peer_response_at = now;
    this->control->quarantine->apply_reports(message.suspects, now);
    if (message.log_age_ms < max_fresh_log_age_ms)
        this->control->last_peer_log_report_at = now;
}

std::string membership_controller::handle_probe(const std::string& payload) {
    const auto message = decode_gossip(payload, this->control->clock->now());
    if (!message || message->members.empty())
        return this->make_gossip({});
    this->handle_gossip(*message);
    return this->make_gossip(message->members.front().name);
}

std::string membership_controller::handle_indirect_probe(const std::string& payload,
                                                         wire::yield_context yield) {
    const json parsed = base::parse_json(payload);
    bool is_reached = false;
    if (parsed.is_object() && parsed.contains("address") && parsed["address"].is_string())
        is_reached = this->try_probe({}, parsed["address"].get<std::string>(), yield);
    return json{{"reached", is_reached}}.dump();
}

void membership_controller::run_probes(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        this->control->pause(this->control->process->gossip_interval, yield);
        if (const auto target = host::next_probe(this->control->members))
            wire::spawn_coroutine(*this->control->context, [this, target](wire::yield_context probe_yield) {
                this->probe(*target, probe_yield);
            });
        for (const host::member& failed : host::advance(this->control->members, this->control->clock->now()))
            log_warning("host_failed", {{"member", failed.name.value}});
        this->control->limits->set_working_hosts(this->control->working_hosts().size());
    }
}

void membership_controller::broadcast_suspects(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        this->control->pause(suspects_poll_interval, yield);
        if (!this->control->quarantine->take_update_flag())
            continue;
        for (const host::member& peer : host::indirect_probers(this->control->members, {}, suspects_fanout))
            wire::spawn_coroutine(*this->control->context, [this, peer](wire::yield_context probe_yield) {
                (void)this->try_probe(peer.name, peer.peers_address, probe_yield);
            });
    }
}

void membership_controller::probe(const host::member& target, wire::yield_context yield) {
    if (this->try_probe(target.name, target.peers_address, yield) || this->try_indirect_probe(target, yield))
        return;
    host::did_miss_probe(this->control->members, target.name, this->control->clock->now());
}

bool membership_controller::try_probe(const base::host_id& name, const std::string& address,
                                      wire::yield_context yield) {
    const auto response =
        this->control->peers->call(address, "probe", this->make_gossip(name), probe_timeout, yield);
    if (!response)
        return false;
    const auto message = decode_gossip(*response, this->control->clock->now());
    if (!message)
        return false;
    this->handle_gossip(*message);
    return true;
}

bool membership_controller::try_indirect_probe(const host::member& target, wire::yield_context yield) {
    const std::string payload = json{{"address", target.peers_address}}.dump();
    for (const host::member& helper :
         host::indirect_probers(this->control->members, target.name, indirect_probe_count)) {
        const auto response =
            this->control->peers->call(helper.peers_address, "indirect", payload, indirect_timeout, yield);
        if (!response)
            continue;
        const json parsed = base::parse_json(*response);
        if (parsed.is_object() && parsed.contains("reached") && parsed["reached"] == true)
            return true;
    }
    return false;
}

void membership_controller::poll_host_list(wire::yield_context yield) {
    const host::member self = this->control->members.self;
    bool is_registered = false;
    while (!this->control->is_stopping) {
        if (!is_registered)
            is_registered = this->host_list.register_host({self.name.value, self.peers_address, false}, yield)
                                .has_value();
        if (const auto listed = this->host_list.read(yield)) {
            const base::time_point now = this->control->clock->now();
            for (const wire::listed_host& item : listed->hosts)
                if (!item.is_leaving)
                    host::add_listed_member(this->control->members, {item.name}, item.peers_address, now);
            this->apply_listed_leaving({listed->leaving_upstreams.begin(), listed->leaving_upstreams.end()});
        }
        this->control->pause(list_poll_interval, yield);
    }
}

void membership_controller::apply_listed_leaving(const std::set<std::string>& now_leaving) {
    const settings_pointer active_settings = this->control->settings->current();
    const auto report = [this](const std::string& upstream, bool is_leaving) {
        this->control->upstreams->set_leaving({upstream}, is_leaving);
        this->control->report_to_decision(decision::leaving_changed{{upstream}, is_leaving});
    };
    for (const std::string& upstream : now_leaving)
        report(upstream, true);
    for (const std::string& upstream : this->listed_leaving) {
        if (now_leaving.contains(upstream) || !active_settings)
            continue;
        // The platform no longer lists it as leaving: fall back to the operators' setting.
        const auto found = active_settings->tree->upstreams.find({upstream});
        if (found != active_settings->tree->upstreams.end())
            report(upstream, found->second.is_leaving);
    }
    this->listed_leaving = now_leaving;
}

void membership_controller::announce_leaving(bool has_left, wire::yield_context yield) {
    host::member changed = this->control->members.self;
    changed.is_draining = true;
    if (has_left)
        changed.life = host::liveness::left;
    host::change_self(this->control->members, changed);
    for (const host::member& peer : host::indirect_probers(this->control->members, {}, announce_count))
        (void)this->try_probe(peer.name, peer.peers_address, yield);
}

} // namespace postpaddle::service
