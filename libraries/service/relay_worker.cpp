// SPDX-License-Identifier: BSD-2-Clause
#include <service/relay_worker.h>

#include <service/filter_chain.h>

#include <base/try.h>

namespace postpaddle::service {

namespace {

wire::connection_bounds bounds_of(const settings::caller_bounds& bounds) {
    return {.header_bytes = bounds.header_bytes,
            .body_bytes = bounds.body_bytes,
            .header_timeout = bounds.request_read_timeout,
            .request_timeout = bounds.request_read_timeout,
            .idle_timeout = bounds.idle_timeout,
            .unsent_bytes = bounds.unsent_bytes,
            .reserved_body_bytes = bounds.body_bytes,
            .write_timeout = bounds.write_timeout};
}

} // namespace

relay_worker::relay_worker(const worker_dependencies& dependencies, const settings::process_settings& process,
                           std::size_t index, std::size_t workers)
    : dependencies(dependencies), process(process), index(index), workers(workers),
      pool(this->context, wire::response_bounds{}),
      releases(this->context, *dependencies.settings, *dependencies.decision, *dependencies.process_metrics) {
    this->services = {.clock = dependencies.clock,
                      .context = &this->context,
                      .settings = dependencies.settings,
                      .decision = dependencies.decision,
                      .limits = dependencies.limits,
                      .quarantine = dependencies.quarantine,
                      .upstreams = dependencies.upstreams,
                      .claims = dependencies.claims,
                      .process_metrics = dependencies.process_metrics,
                      .pool = &this->pool,
                      .mailboxes = &this->mailboxes};
    dependencies.decision->effects_of(index).set_on_ready(
        [this] { wire::asio::post(this->context, [this] { this->deliver_effects(); }); });
}

relay_worker::~relay_worker() { this->stop(); }

wire::expected<std::uint16_t> relay_worker::listen(std::uint16_t port) {
    POSTPADDLE_TRY(created, wire::http_listener::create(
                                this->context, {.address = this->process.callers.address,
                                                .port = port,
                                                .sharing = wire::port_sharing::shared,
                                                .bounds = wire::fixed_bounds(bounds_of(this->process.bounds)),
                                                .connections = this->process.bounds.connections}));
    this->listener = std::move(created);
    this->listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
        this->serve(connection, yield);
    });
    return this->listener->port();
}

void relay_worker::start() {
    this->thread = std::thread([this] {
        const auto guard = wire::asio::make_work_guard(this->context);
        this->context.run();
    });
}

void relay_worker::stop_accepting() {
    this->is_stopping = true;
    wire::asio::post(this->context, [this] { this->listener->stop(); });
}

void relay_worker::stop() {
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

base::request_id relay_worker::next_request_id() {
    // The sequence number modulo the number of workers is this worker's index, so that the effects of a
    // request can be routed back to it.
    return host::make_request_id(this->dependencies.owner, this->requests++ * this->workers + this->index);
}

void relay_worker::serve(wire::caller_connection& connection, wire::yield_context yield) {
    ++this->dependencies.process_metrics->counters.connections;
    while (!connection.is_closed()) {
        auto request = connection.read_request(yield);
        if (!request) {
            this->send_bad_request(connection, request.error(), yield);
            return;
        }
        if (this->is_stopping)
            connection.close_after_response();
        this->serve_request(connection, std::move(*request), yield);
        if (!connection.is_keep_alive())
            return;
    }
}

void relay_worker::serve_request(wire::caller_connection& connection, wire::http_request request,
                                 wire::yield_context yield) {
    request_context request_state;
    request_state.services = &this->services;
    request_state.connection = &connection;
    request_state.request = std::move(request);
    request_state.id = this->next_request_id();
    request_state.arrived = this->dependencies.clock->now();
    run_filters(request_state, yield);
}

void relay_worker::send_bad_request(wire::caller_connection& connection, const wire::wire_error& error,
                                    wire::yield_context yield) {
    problem_details problem{
        400, "bad-request", "The request can't be read", error.detail, run_outcome::not_run, {}, {}};
    switch (error.failure) {
    case wire::wire_failure::malformed:
        break;
    case wire::wire_failure::too_large:
        problem.status = 413;
        problem.name = "too-large";
        problem.title = "The request is larger than allowed";
        break;
    case wire::wire_failure::head_too_large:
        problem.status = 431;
        problem.name = "head-too-large";
        problem.title = "The request's head is larger than allowed";
        break;
    case wire::wire_failure::no_room:
        problem = overloaded_problem("no memory is free for the whole request");
        break;
    case wire::wire_failure::late:
        problem.status = 408;
        problem.name = "too-slow";
        problem.title = "The request took too long to arrive";
        break;
    default:
        return;
    }
    connection.send_and_close(to_response(problem, this->next_request_id().value), yield);
}

void relay_worker::deliver_effects() {
    for (decision::effect& effect : this->dependencies.decision->effects_of(this->index).drain()) {
        if (const auto* const order = std::get_if<decision::release_hold>(&effect)) {
            this->releases.release(*order);
            continue;
        }
        const base::request_id id = std::visit([](const auto& value) { return value.id; }, effect);
        const auto found = this->mailboxes.find(id);
        if (found != this->mailboxes.end())
            found->second->push(std::move(effect));
    }
    this->open_releases = this->releases.in_progress();
}

} // namespace postpaddle::service
