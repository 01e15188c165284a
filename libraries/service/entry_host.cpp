// SPDX-License-Identifier: BSD-2-Clause
#include <service/entry_host.h>

#include <service/log.h>

#include <base/hashing.h>
#include <base/try.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto drain_poll_interval = 20ms;

std::uint64_t make_incarnation(const base::clock& clock) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(clock.wall_now().time_since_epoch()).count());
}

decision_options make_decision_options(const settings::process_settings& process, std::uint64_t incarnation) {
    decision_options options;
    options.ring_capacity = process.ring_capacity;
    options.workers = static_cast<std::size_t>(process.relay_threads);
    options.router.seed = base::hash64(process.name.value, incarnation);
    if (process.policy == "round_robin")
        options.router.rule = decision::policy::round_robin;
    if (process.policy == "least_load")
        options.router.rule = decision::policy::least_load;
    return options;
}

std::string format_address(const std::string& address, std::uint16_t port) {
    const bool is_v6 = address.find(':') != std::string::npos;
    return (is_v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

} // namespace

entry_host::entry_host(const base::clock& clock, settings::process_settings process_settings)
    : clock(&clock), process(std::move(process_settings)), incarnation(make_incarnation(clock)),
      limits(clock.now()), claims(this->process.ring_capacity),
      decision(clock, make_decision_options(this->process, this->incarnation)),
      control({.clock = &clock,
               .process = &this->process,
               .settings = &this->settings,
               .decision = &this->decision,
               .limits = &this->limits,
               .quarantine = &this->quarantine,
               .upstreams = &this->upstreams,
               .claims = &this->claims,
               .process_metrics = &this->process_metrics,
               .incarnation = this->incarnation}),
      operators(clock, this->process, this->control, this->decision, this->process_metrics) {
    const worker_dependencies dependencies = {.clock = &clock,
                                              .settings = &this->settings,
                                              .decision = &this->decision,
                                              .limits = &this->limits,
                                              .quarantine = &this->quarantine,
                                              .upstreams = &this->upstreams,
                                              .claims = &this->claims,
                                              .process_metrics = &this->process_metrics,
                                              .owner = {this->process.name, this->incarnation}};
    const auto count = static_cast<std::size_t>(this->process.relay_threads);
    for (std::size_t index = 0; index < count; ++index)
        this->workers.push_back(std::make_unique<relay_worker>(dependencies, this->process, index, count));
}

entry_host::~entry_host() {
    for (const auto& worker : this->workers)
        worker->stop();
    this->operators.stop();
    this->control.stop();
    this->decision.stop();
}

wire::expected<host_addresses> entry_host::start() {
    host_addresses addresses;
    std::uint16_t port = this->process.callers.port;
    for (const auto& worker : this->workers) {
        POSTPADDLE_TRY(bound, worker->listen(port));
        port = bound;
    }
    addresses.callers = format_address(this->process.callers.address, port);
    POSTPADDLE_TRY(operators_port, this->operators.listen());
    addresses.operators = format_address(this->process.operators.address, operators_port);
    POSTPADDLE_TRY(peers_port, this->control.listen());
    addresses.peers = format_address(this->process.peers.address, peers_port);
    this->decision.start();
    this->control.start(addresses.peers, addresses.operators);
    this->operators.start();
    for (const auto& worker : this->workers)
        worker->start();
    log_info("started", {{"callers", addresses.callers},
                         {"operators", addresses.operators},
                         {"incarnation", std::to_string(this->incarnation)}});
    return addresses;
}

int entry_host::remaining_work() const {
    int releases = 0;
    for (const auto& worker : this->workers)
        releases += static_cast<int>(worker->releases_in_progress());
    return releases + static_cast<int>(this->process_metrics.counters.requests_in_progress.load());
}

stop_result entry_host::drain(const std::function<bool()>& should_hurry) {
    log_info("draining");
    this->operators.set_draining();
    const base::time_point started_at = this->clock->now();
    const base::time_point deadline =
        started_at + this->process.stop.balancer_delay + this->process.stop.drain_timeout;
    // The load balancer notices the readiness change with a delay, so new requests are accepted until then.
    while (!should_hurry() && this->clock->now() < started_at + this->process.stop.balancer_delay)
        std::this_thread::sleep_for(drain_poll_interval);
    this->control.announce_leaving(false);
    for (const auto& worker : this->workers)
        worker->stop_accepting();
    while (!should_hurry() && this->remaining_work() > 0 && this->clock->now() < deadline)
        std::this_thread::sleep_for(drain_poll_interval);
    stop_result result;
    result.requests_cut = static_cast<int>(this->process_metrics.counters.requests_in_progress.load());
    result.releases_left = this->remaining_work() - result.requests_cut;
    this->control.announce_leaving(true);
    log_info("stopped", {{"requests_cut", std::to_string(result.requests_cut)}});
    return result;
}

} // namespace postpaddle::service
