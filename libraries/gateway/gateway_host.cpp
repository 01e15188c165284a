// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/gateway_host.h>

#include <gateway/caller_bounds.h>
#include <gateway/collected_bodies.h>
#include <gateway/endings/open_request.h>
#include <gateway/endings/request_drain.h>
#include <gateway/operations/state_dump.h>
#include <gateway/request_handler.h>
#include <gateway/stream_origin/request_origin.h>

#include <base/hashing.h>
#include <base/signal_mask.h>
#include <base/try.h>
#include <wire/endpoint.h>

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

constexpr int ok_status = 200;
constexpr int unavailable_status = 503;
constexpr int not_found_status = 404;
constexpr base::duration drain_check_interval = 20ms;
/// Time for the last responses to be flushed before the event loop stops.
constexpr base::duration final_flush_time = 50ms;
/// Connection limit of the readiness and metrics listeners.
constexpr std::size_t admin_connections = 32;

std::uint64_t make_seed(const base::clock& clock, const std::string& name) {
    const auto wall = static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count());
    const auto steady = static_cast<std::uint64_t>(clock.now().time_since_epoch().count());
    return base::hash64(name, wall ^ steady);
}

decision::host_memory memory_of(const settings::gateway_settings& process) {
    std::optional<std::uint64_t> limit = process_memory_limit();
    if (process.memory_bytes > 0)
        limit = std::min(limit.value_or(process.memory_bytes), process.memory_bytes);
    return {.limit_bytes = limit, .connections = process.connections};
}

/// Serves `path` with the result of `make_answer`; answers 404 for any other path.
void serve_path(wire::caller_connection& connection, const std::string& path,
                const std::function<wire::http_response()>& make_answer, wire::yield_context yield) {
    while (!connection.is_closed()) {
        const auto request = connection.read_request(yield);
        if (!request)
            return;
        const bool is_known = decision::path_of_target(request->target) == path;
        const wire::http_response answer =
            is_known ? make_answer() : wire::http_response{not_found_status, {}, ""};
        if (!connection.send(answer, yield) || !connection.is_keep_alive())
            return;
    }
}

/// The address with the port that the system has chosen if it had none.
std::string with_port(const std::string& address, std::uint16_t port) {
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

} // namespace

gateway_host::gateway_host(const base::clock& clock, settings::gateway_settings process_settings,
                           const gateway_ports& external)
    : clock(&clock), process(std::move(process_settings)),
      log(clock, {.host = this->process.name.value,
                  .level = this->process.log_level,
                  .lines_per_second = this->process.log_lines_per_second}),
      state{.clock = &clock,
            .started = clock.now(),
            .incarnation = static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count()),
            .context = &this->context,
            .process = &this->process,
            .protocol = external.protocol,
            .limit_clock = {.own_until = clock.now()},
            .random = std::mt19937_64(make_seed(clock, this->process.name.value)),
            .pool = &this->pool,
            .forwarding_pool = &this->forwarding_pool,
            .log = &this->log,
            .metrics = &this->metrics,
            .unsent_data = &this->unsent_data,
            .collected = &this->collected},
      unsent_data(this->state, decision::unsent_bound(memory_of(this->process))),
      collected({.share = decision::collected_bound(memory_of(this->process)),
                 .max_bound = decision::max_collected_bound(memory_of(this->process))}),
      pool(this->context, {.collected = &this->collected.answers}),
      forwarding_pool(this->context, {.collected = &this->collected.answers}),
      feed(external.make_feed(this->context, this->process.store)), peers(this->state, *this->feed),
      datagrams(this->state), loads(this->state, this->datagrams), paces(this->state),
      slot_waker(this->state),
      store(this->state, *this->feed, this->datagrams,
            {.on_new_settings = [this] { this->peers.announce_settings(); },
             .on_settings_unavailable = [this] { this->peers.ask_for_settings(); },
             .on_registry_unavailable =
                 [this](wire::yield_context yield) { this->peers.ask_for_registry(yield); }}),
      stages(this->state, *this->feed), quarantine(this->state, *this->feed, this->datagrams),
      stream_origins(this->state, this->datagrams), stream_journal(this->state, *this->feed, this->datagrams),
      splits(this->state, *this->feed), prober(this->state) {
    this->state.peers.seeds = this->process.seeds;
    std::erase(this->state.peers.seeds, this->process.peers);
}

gateway_host::~gateway_host() {
    // Coroutines that are unwound report changes, but what handles them is destroyed before them.
    this->state.on_load_changed = nullptr;
    this->state.on_slots_changed = nullptr;
    this->state.on_links_doubted = nullptr;
}

wire::expected<std::shared_ptr<wire::http_listener>>
gateway_host::listen_at(const std::string& address, std::size_t connections,
                        wire::bounds_source bounds) const {
    POSTPADDLE_TRY(endpoint, wire::parse_endpoint(address));
    return wire::http_listener::create(*this->state.context, {.address = endpoint.address().to_string(),
                                                              .port = endpoint.port(),
                                                              .bounds = std::move(bounds),
                                                              .connections = connections,
                                                              .account = this->collected.requests});
}

wire::expected<void> gateway_host::listen() {
    const std::size_t connections = connections_within(this->process.connections, mapped_memory_limit());
    POSTPADDLE_TRY(new_caller_listener, this->listen_at(this->process.callers, connections,
                                                        [this] { return caller_bounds(this->state); }));
    this->caller_listener = std::move(new_caller_listener);
    this->process.callers = with_port(this->process.callers, this->caller_listener->port());
    POSTPADDLE_TRY(new_readiness_listener, this->listen_at(this->process.readiness, admin_connections));
    this->readiness_listener = std::move(new_readiness_listener);
    this->process.readiness = with_port(this->process.readiness, this->readiness_listener->port());
    if (!this->process.metrics.empty()) {
        POSTPADDLE_TRY(new_metrics_listener, this->listen_at(this->process.metrics, admin_connections));
        this->metrics_listener = std::move(new_metrics_listener);
    }
    POSTPADDLE_TRY(own_endpoint, wire::parse_endpoint(this->process.peers));
    this->forwarding_pool.set_local_address(own_endpoint.address());
    POSTPADDLE_TRY_VOID(this->peers.listen());
    // Other hosts are told this address.
    this->process.peers = with_port(this->process.peers, this->peers.port());
    return this->datagrams.listen();
}

wire::expected<void> gateway_host::start() {
    POSTPADDLE_TRY_VOID(this->listen());
    this->caller_listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
        serve_caller(this->state, connection, yield);
    });
    this->readiness_listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
        serve_path(
            connection, this->process.readiness_path,
            [this] {
                // Further connections would be closed as soon as they are accepted.
                const bool may_serve = is_ready(this->state) && this->caller_listener->has_room();
                return wire::http_response{may_serve ? ok_status : unavailable_status, {}, ""};
            },
            yield);
    });
    if (this->metrics_listener)
        this->metrics_listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
            serve_path(
                connection, "/metrics",
                [this] {
                    return wire::http_response{ok_status,
                                               {{"Content-Type", "text/plain; version=0.0.4"}},
                                               export_metrics(this->state)};
                },
                yield);
        });
    this->peers.start();
    this->datagrams.start();
    this->loads.start();
    this->paces.start();
    this->slot_waker.start();
    this->store.start();
    this->stages.start();
    this->quarantine.start();
    this->stream_origins.start();
    this->stream_journal.start();
    this->splits.start([this](const std::string& service) { record_older_streams(this->state, service); });
    this->prober.start();
    this->log.write_always("started", {{"availability_zone", this->process.availability_zone.value},
                                       {"callers", this->process.callers},
                                       {"readiness", this->process.readiness},
                                       {"peers", this->process.peers},
                                       {"store", this->process.store}});
    return {};
}

shutdown_result
gateway_host::run(const std::function<std::optional<settings::gateway_settings>()>& reload_file) {
    this->reload = reload_file;
    wire::spawn_coroutine(this->context, [this](wire::yield_context yield) { this->await_signals(yield); });
    this->context.run();
    return this->stopped;
}

void gateway_host::await_signals(wire::yield_context yield) {
    wire::asio::signal_set signals(this->context, SIGTERM, SIGINT, SIGHUP);
    wire::error_code error;
    while (!error) {
        const int signal = signals.async_wait(yield[error]);
        if (error)
            return;
        if (signal == SIGHUP) {
            this->handle_reload();
            continue;
        }
        this->drain(yield);
        // Without the set, further signals would end the process as if it had not stopped by itself.
        base::block_control_signals();
        return;
    }
}

void gateway_host::handle_reload() {
    const auto next = this->reload();
    if (next) {
        // Listening addresses, `connections` and what concerns the log take effect on the next start; the
        // rest applies at once.
        this->process.regions = next->regions;
        this->process.grace_period = next->grace_period;
        this->process.balancer_delay = next->balancer_delay;
        this->process.registry_interval = next->registry_interval;
        this->process.max_settings_delay = next->max_settings_delay;
        this->process.max_leaving_delay = next->max_leaving_delay;
        this->process.heartbeat = next->heartbeat;
        this->process.retries = next->retries;
        this->process.policy = next->policy;
        this->process.min_order_pause = next->min_order_pause;
        this->process.do_engines_check_tokens = next->do_engines_check_tokens;
        this->process.max_retry_after = next->max_retry_after;
        this->process.seeds = next->seeds;
        this->state.peers.seeds = next->seeds;
        std::erase(this->state.peers.seeds, this->process.peers);
    }
    this->log.write_always("reloaded", {{"is_accepted", next.has_value()}});
}

void gateway_host::drain(wire::yield_context yield) {
    const decision::drain_schedule schedule = decision::make_drain_schedule(
        {.grace_period = this->process.grace_period, .balancer_delay = this->process.balancer_delay},
        this->clock->now());
    begin_drain(this->state, schedule);
    this->log.write_always("draining", {{"requests_in_progress", this->state.requests_in_progress}});
    this->peers.announce_leaving();
    wire::boot_timer timer(this->context, schedule.stop_accepting);
    wire::error_code ignored;
    // The load balancer notices the readiness change late, so new connections are still accepted until then.
    timer.async_wait(yield[ignored]);
    this->caller_listener->stop();
    this->caller_listener->close_idle_connections();
    // Connections that remain have a complete or partial request, which is still answered. Other hosts'
    // callers have theirs there.
    while ((this->caller_listener->connections() > 0 || this->state.forwarded_in_progress > 0) &&
           this->clock->now() < schedule.end) {
        if (this->clock->now() >= schedule.answer_by)
            end_unanswered(this->state);
        timer.expires_after(drain_check_interval);
        timer.async_wait(yield[ignored]);
    }
    timer.expires_after(final_flush_time);
    timer.async_wait(yield[ignored]);
    this->stopped.requests_cut = this->state.requests_in_progress;
    for (open_request* const open : this->state.open_requests)
        open->record_cut();
    this->log.write_always("stopped", {{"requests_cut", this->stopped.requests_cut},
                                       {"partial_requests_cut", this->caller_listener->partial_requests()}});
    this->context.stop();
}

} // namespace postpaddle::gateway
