// SPDX-License-Identifier: BSD-2-Clause
#include <service/upstream_controller.h>

#include <service/log.h>

#include <host/owner.h>
#include <host/rendezvous.h>
#include <wire/engine_adapter.h>
#include <wire/http_client.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_interval = 200ms;
constexpr auto orphan_check_interval = 1'000ms;
constexpr auto call_timeout = 1'000ms;
constexpr base::duration load_lifetime = 5s;
constexpr int ok_status = 200;

} // namespace

upstream_controller::upstream_controller(control_context& control)
    : control(&control), pool(*control.context, wire::response_bounds{}) {}

void upstream_controller::start() {
    wire::asio::io_context& context = *this->control->context;
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->poll_forever(yield); });
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->abort_orphans_forever(yield); });
}

std::vector<std::pair<base::upstream_id, std::string>> upstream_controller::owned_engines() const {
    std::vector<std::pair<base::upstream_id, std::string>> engines;
    const settings_pointer active_settings = this->control->settings->current();
    if (!active_settings)
        return engines;
    const auto working = this->control->working_hosts();
    for (const auto& [id, upstream] : active_settings->tree->upstreams) {
        if (upstream.kind != settings::upstream_kind::engine)
            continue;
        const auto owner = host::rendezvous_owner(working, "upstream:" + id.value);
        if (owner && this->control->is_self(*owner))
            engines.emplace_back(id, upstream.address);
    }
    return engines;
}

void upstream_controller::poll_forever(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        for (const auto& [id, address] : this->owned_engines()) {
            // Each poll runs in its own coroutine, so that an unresponsive engine does not delay the others.
            if (!this->polling.insert(id).second)
                continue;
            wire::spawn_coroutine(*this->control->context,
                                  [this, id = id, address = address](wire::yield_context own) {
                                      this->poll(id, address, own);
                                      this->polling.erase(id);
                                  });
        }
        const base::time_point now = this->control->clock->now();
        std::erase_if(this->received_loads,
                      [now](const auto& item) { return now - item.second.asked_at > load_lifetime; });
        this->control->pause(poll_interval, yield);
    }
}

void upstream_controller::poll(const base::upstream_id& id, const std::string& address,
                               wire::yield_context yield) {
    const base::time_point asked_at = this->control->clock->now();
    const auto response = wire::fetch(this->pool, address, wire::make_load_request(), call_timeout, yield);
    if (!response || response->status != ok_status)
        return;
    this->control->process_metrics->counters.control_bytes +=
        response->body.size() + 2 * wire::http_head_bytes;
    const auto report = wire::parse_load(response->body);
    if (!report)
        return;
    // The engine may have answered long before the answer arrived.
    this->received_loads[id] = {*report, asked_at};
    this->control->report_to_decision(
        decision::load_report_received{id, *report, this->control->clock->now() - asked_at});
}

void upstream_controller::abort_orphans_forever(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        this->control->pause(orphan_check_interval, yield);
        for (const auto& [id, address] : this->owned_engines())
            this->abort_orphans(address, yield);
    }
}

void upstream_controller::abort_orphans(const std::string& address, wire::yield_context yield) {
    const auto response =
        wire::fetch(this->pool, address, wire::make_attempt_list_request(), call_timeout, yield);
    if (!response || response->status != ok_status)
        return;
    this->control->process_metrics->counters.control_bytes +=
        response->body.size() + 2 * wire::http_head_bytes;
    const auto held_attempts = wire::parse_attempt_list(response->body);
    if (!held_attempts)
        return;
    for (const std::string& attempt : *held_attempts) {
        const auto owner = host::owner_of(attempt);
        if (!owner || !host::is_gone(this->control->members, owner->host, owner->incarnation))
            continue;
        ++this->control->process_metrics->counters.orphans_cancelled;
        (void)wire::fetch(this->pool, address, wire::make_abort_request(attempt), call_timeout, yield);
    }
}

std::map<std::string, shared_load> upstream_controller::loads() const {
    std::map<std::string, shared_load> found;
    const base::time_point now = this->control->clock->now();
    for (const auto& [id, load] : this->received_loads)
        found[id.value] = {
            load.report, std::chrono::duration_cast<std::chrono::milliseconds>(now - load.asked_at).count()};
    return found;
}

} // namespace postpaddle::service
