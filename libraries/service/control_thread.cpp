// SPDX-License-Identifier: BSD-2-Clause
#include <service/control_thread.h>

#include <service/log.h>

#include <base/try.h>

#include <future>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto readiness_interval = 100ms;
constexpr int ok_status = 200;
constexpr int forbidden_status = 403;

control_context make_control_context(const control_dependencies& dependencies,
                                     wire::asio::io_context& context, wire::log_client& log,
                                     wire::peer_client& peers) {
    control_context control;
    control.clock = dependencies.clock;
    control.context = &context;
    control.process = dependencies.process;
    control.settings = dependencies.settings;
    control.decision = dependencies.decision;
    control.limits = dependencies.limits;
    control.quarantine = dependencies.quarantine;
    control.upstreams = dependencies.upstreams;
    control.claims = dependencies.claims;
    control.process_metrics = dependencies.process_metrics;
    control.log = &log;
    control.peers = &peers;
    host::member self;
    self.name = dependencies.process->name;
    self.zone = dependencies.process->availability_zone;
    self.incarnation = dependencies.incarnation;
    host::membership_options options;
    options.seed = dependencies.incarnation;
    control.members = host::make_membership(self, options);
    return control;
}

} // namespace

control_thread::control_thread(const control_dependencies& dependencies)
    : log(this->context, dependencies.process->log_address),
      peers(this->context, dependencies.process->peers_token),
      control(make_control_context(dependencies, this->context, this->log, this->peers)),
      settings(this->control), membership(this->control), upstreams(this->control),
      shares(this->control, this->upstreams), claim(this->control), leases(this->control),
      pools(this->control, this->leases) {}

control_thread::~control_thread() { this->stop(); }

wire::expected<std::uint16_t> control_thread::listen() {
    wire::listener_options options;
    options.address = this->control.process->peers.address;
    options.port = this->control.process->peers.port;
    POSTPADDLE_TRY(created, wire::http_listener::create(this->context, options));
    this->listener = std::move(created);
    this->listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
        this->serve_peer(connection, yield);
    });
    return this->listener->port();
}

void control_thread::start(const std::string& peers_address, const std::string& operators_address) {
    host::member self = this->control.members.self;
    self.peers_address = peers_address;
    self.operators_address = operators_address;
    host::change_self(this->control.members, self);
    this->settings.start();
    this->membership.start();
    this->upstreams.start();
    this->shares.start();
    this->claim.start();
    this->pools.start();
    wire::spawn_coroutine(this->context, [this](wire::yield_context yield) { this->watch_readiness(yield); });
    this->thread = std::thread([this] { this->context.run(); });
}

void control_thread::stop() {
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

void control_thread::inspect(const std::function<void(const control_thread&)>& function) {
    std::promise<void> done;
    wire::asio::post(this->context, [this, &function, &done] {
        function(*this);
        done.set_value();
    });
    done.get_future().wait();
}

void control_thread::announce_leaving(bool has_left) {
    std::promise<void> done;
    wire::spawn_coroutine(this->context, [this, has_left, &done](wire::yield_context yield) {
        this->membership.announce_leaving(has_left, yield);
        done.set_value();
    });
    done.get_future().wait();
}

void control_thread::watch_readiness(wire::yield_context yield) {
    while (!this->control.is_stopping) {
        const bool is_current = this->settings.is_current();
        if (is_current != this->ready) {
            this->ready = is_current;
            if (is_current)
                log_info("ready");
            else
                log_warning("not_ready", {{"reason", "settings can't be known to be current"}});
        }
        const std::uint64_t bytes = this->log.traffic_bytes() + this->peers.traffic_bytes();
        this->control.process_metrics->counters.control_bytes +=
            bytes - std::exchange(this->reported_bytes, bytes);
        this->control.pause(readiness_interval, yield);
    }
}

void control_thread::serve_peer(wire::caller_connection& connection, wire::yield_context yield) {
    while (!connection.is_closed()) {
        const auto request = connection.read_request(yield);
        if (!request)
            return;
        const wire::http_response response = this->handle_peer_request(*request, yield);
        this->control.process_metrics->counters.control_bytes +=
            request->body.size() + response.body.size() + 2 * wire::http_head_bytes;
        if (!connection.send(response, yield) || !connection.is_keep_alive())
            return;
    }
}

wire::http_response control_thread::handle_peer_request(const wire::http_request& request,
                                                        wire::yield_context yield) {
    if (wire::find_header(request.headers, wire::peer_token_header) != this->control.process->peers_token)
        return {forbidden_status, {}, ""};
    // Methods may suspend this coroutine; to libjsonrpccpp they are blocking calls.
    wire::json_rpc_server server({
        {"probe", [this](const std::string& payload) { return this->membership.handle_probe(payload); }},
        {"indirect",
         [this, &yield](const std::string& payload) {
             return this->membership.handle_indirect_probe(payload, yield);
         }},
        {"shares", [this](const std::string& payload) { return this->shares.answer(payload); }},
        {"claim", [this, &yield](const std::string& payload) { return this->claim.answer(payload, yield); }},
        {"settings",
         [this](const std::string& /*payload*/) {
             return json{{"state", this->settings.encoded_state()}}.dump();
         }},
    });
    return {ok_status, {{"Content-Type", "application/json"}}, server.respond(request.body)};
}

} // namespace postpaddle::service
