// SPDX-License-Identifier: BSD-2-Clause
#include <service/pool_controller.h>

#include <service/log.h>
#include <service/settings_controller.h>

#include <host/rendezvous.h>
#include <wire/engine_adapter.h>
#include <wire/http_client.h>

#include <algorithm>
#include <array>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto check_interval = 1'000ms;
constexpr base::duration lease_duration = 30s;
constexpr auto order_timeout = 1'000ms;
constexpr auto append_timeout = 2'000ms;
constexpr int ok_status = 200;
/// Seconds of queued prompt work at which a prefill engine counts as fully loaded.
constexpr double full_load_prompt_seconds = 0.3;

host::balance_options options_of(const settings::balance_settings& balance) {
    return {balance.high, balance.low, base::from_seconds(balance.sustained_seconds),
            base::from_seconds(balance.cool_down_seconds)};
}

std::string yaml_list(const std::vector<base::upstream_id>& pool) {
    std::string text = "[";
    for (const base::upstream_id& id : pool)
        text += (text.size() > 1 ? ", " : "") + id.value;
    return text + "]";
}

double mean(double sum, std::size_t count) { return count == 0 ? 0 : sum / static_cast<double>(count); }

} // namespace

pool_controller::pool_controller(control_context& control, lease_controller& leases)
    : control(&control), leases(&leases), pool(*control.context, wire::response_bounds{}) {}

void pool_controller::start() {
    wire::spawn_coroutine(*this->control->context, [this](wire::yield_context yield) { this->watch(yield); });
}

void pool_controller::watch(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        this->control->pause(check_interval, yield);
        const settings_pointer active_settings = this->control->settings->current();
        if (!active_settings)
            continue;
        for (const auto& [name, deployment] : active_settings->tree->deployments) {
            const auto owner = host::rendezvous_owner(this->control->working_hosts(), "deployment:" + name);
            if (deployment.balance.is_enabled && owner && this->control->is_self(*owner))
                this->check_balance(deployment, yield);
        }
    }
}

host::pool_load pool_controller::load_of(const std::string& deployment) const {
    host::pool_load load;
    this->control->decision->inspect([&](const decision::router_state& state) {
        const auto found = state.deployments.find(deployment);
        if (found == state.deployments.end())
            return;
        for (const decision::engine_index index : found->second.prefill_pool) {
            const auto& engine = decision::engine_at(state, index);
            load.prefill +=
                engine.report.queued_prompt_tokens / engine.prompt_rate.value / full_load_prompt_seconds;
        }
        for (const decision::engine_index index : found->second.decode_pool) {
            const auto& engine = decision::engine_at(state, index);
            load.decode += static_cast<double>(engine.report.active_decodes + engine.report.waiting_decodes) /
                           std::max(1, engine.facts.decode_slots);
        }
        load.prefill = mean(load.prefill, found->second.prefill_pool.size());
        load.decode = mean(load.decode, found->second.decode_pool.size());
    });
    return load;
}

void pool_controller::check_balance(const settings::deployment_settings& deployment,
                                    wire::yield_context yield) {
    const host::pool_move next_move =
        host::next_pool_move(this->states[deployment.name], this->load_of(deployment.name),
                             options_of(deployment.balance), this->control->clock->now());
    if (next_move != host::pool_move::none)
        this->move(deployment, next_move, yield);
}

void pool_controller::move(const settings::deployment_settings& deployment, host::pool_move direction,
                           wire::yield_context yield) {
    const bool is_to_decode = direction == host::pool_move::to_decode;
    const auto& from = is_to_decode ? deployment.prefill_pool : deployment.decode_pool;
    // A pool must keep at least one engine.
    if (from.size() < 2)
        return;
    const settings_pointer active_settings = this->control->settings->current();
    const settings::upstream_settings engine = active_settings->tree->upstreams.at(from.back());
    if (!this->send_role_order(engine, is_to_decode ? "decode" : "prefill", yield))
        return;
    log_info("engine_moved", {{"upstream", engine.id.value}, {"deployment", deployment.name}});
    this->publish(deployment, engine.id, direction, yield);
}

bool pool_controller::send_role_order(const settings::upstream_settings& engine, const std::string& role,
                                      wire::yield_context yield) {
    const std::string resource = "engine:" + engine.id.value;
    const auto lease = this->leases->acquire(resource, lease_duration, yield);
    if (!lease)
        return false;
    const bool checks = engine.fencing == settings::fencing_check::checks;
    const base::duration wait = host::wait_before_orders(checks, lease->had_holder, host::lease_margins{});
    if (wait > base::duration::zero())
        this->control->pause(wait, yield);
    if (!this->leases->may_act(resource, *lease))
        return false;
    const auto response = wire::fetch(this->pool, engine.address, wire::make_role_order(role, lease->token),
                                      order_timeout, yield);
    return response && response->status == ok_status;
}

void pool_controller::publish(const settings::deployment_settings& deployment,
                              const base::upstream_id& engine, host::pool_move direction,
                              wire::yield_context yield) {
    std::vector<base::upstream_id> prefill = deployment.prefill_pool;
    std::vector<base::upstream_id> decode = deployment.decode_pool;
    auto& from = direction == host::pool_move::to_decode ? prefill : decode;
    auto& to = direction == host::pool_move::to_decode ? decode : prefill;
    std::erase(from, engine);
    to.push_back(engine);
    // Add the engine to its new pool before removing it from the old one, so that the settings are valid
    // after each of the two changes.
    const std::string path = "deployments/" + deployment.name + "/";
    const bool is_to_decode = direction == host::pool_move::to_decode;
    const std::array<std::pair<std::string, std::string>, 2> changes = {
        std::pair{path + (is_to_decode ? "decode_pool" : "prefill_pool"), yaml_list(to)},
        std::pair{path + (is_to_decode ? "prefill_pool" : "decode_pool"), yaml_list(from)}};
    for (const auto& [field, value] : changes) {
        settings::settings_record record;
        record.kind = settings::record_kind::assign;
        record.base_revision = this->control->replayed_settings.revision;
        record.change_id = "move-" + engine.value + "-" + std::to_string(record.base_revision) + "-" +
                           std::to_string(this->control->members.self.incarnation);
        record.author = "pool-controller@" + this->control->members.self.name.value;
        record.path = field;
        record.value = value;
        ++this->control->process_metrics->counters.log_appends;
        (void)this->control->log->append(settings_stream, settings::encode_record(record), append_timeout,
                                         yield);
        // The next change uses the revision after this one, so wait (up to 2 s) until this host has applied
        // or rejected it.
        for (int poll = 0; poll < 40; ++poll) {
            if (settings::verdict_of(this->control->replayed_settings, record.change_id) != nullptr)
                break;
            this->control->pause(50ms, yield);
        }
    }
}

} // namespace postpaddle::service
