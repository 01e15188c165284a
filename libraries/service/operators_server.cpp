// SPDX-License-Identifier: BSD-2-Clause
#include <service/operators_server.h>

#include <service/state_dump.h>

#include <base/hashing.h>
#include <base/try.h>
#include <decision/route_table.h>
#include <wire/request_target.h>

namespace postpaddle::service {

namespace {

constexpr int ok_status = 200;
constexpr int unauthorised_status = 401;
constexpr int not_found_status = 404;
constexpr int unavailable_status = 503;
constexpr std::string_view explain_path = "/explain";

wire::http_response text_response(int status, std::string body) {
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

wire::http_response json_response(const json& body) {
    static constexpr int indentation = 2;
    return {ok_status, {{"Content-Type", "application/json"}}, body.dump(indentation) + "\n"};
}

} // namespace

operators_server::operators_server(const base::clock& clock, const settings::process_settings& process,
                                   control_thread& control, decision_controller& decision,
                                   metrics& process_metrics)
    : clock(&clock), process(&process), control(&control), decision(&decision),
      process_metrics(&process_metrics) {}

operators_server::~operators_server() { this->stop(); }

wire::expected<std::uint16_t> operators_server::listen() {
    wire::listener_options options;
    options.address = this->process->operators.address;
    options.port = this->process->operators.port;
    POSTPADDLE_TRY(created, wire::http_listener::create(this->context, options));
    this->listener = std::move(created);
    this->listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
        this->serve(connection, yield);
    });
    return this->listener->port();
}

void operators_server::start() {
    this->thread = std::thread([this] { this->context.run(); });
}

void operators_server::stop() {
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

void operators_server::serve(wire::caller_connection& connection, wire::yield_context yield) {
    while (!connection.is_closed()) {
        const auto request = connection.read_request(yield);
        if (!request)
            return;
        if (!connection.send(this->handle_request(*request), yield) || !connection.is_keep_alive())
            return;
    }
}

wire::http_response operators_server::handle_request(const wire::http_request& request) {
    if (request.target == "/healthz")
        return text_response(ok_status, "ok\n");
    if (request.target == "/readyz") {
        if (this->draining)
            return text_response(unavailable_status, "draining\n");
        const bool is_ready = this->control->is_ready();
        return text_response(is_ready ? ok_status : unavailable_status,
                             is_ready ? "ready\n" : "no current settings\n");
    }
    // Compare hashes so that the duration of the comparison reveals nothing about the token.
    const auto field = wire::find_header(request.headers, "Authorization");
    if (base::sha256_hex(field) != base::sha256_hex("Bearer " + this->process->operators_token))
        return text_response(unauthorised_status, "the operators' token is missing or wrong\n");
    if (request.target == "/metrics")
        return {ok_status, {{"Content-Type", "text/plain; version=0.0.4"}}, this->process_metrics->text()};
    if (request.target == "/state")
        return this->handle_state();
    if (decision::path_of_target(request.target) == explain_path)
        return this->handle_explain(wire::find_parameter(request.target, "id"));
    return text_response(not_found_status, "no such page\n");
}

wire::http_response operators_server::handle_state() {
    json body = {{"host", this->process->name.value},
                 {"availability_zone", this->process->availability_zone.value},
                 {"version", POSTPADDLE_VERSION},
                 {"ready", this->control->is_ready()},
                 {"draining", this->draining.load()}};
    const base::time_point now = this->clock->now();
    this->control->inspect(
        [&body, now](const control_thread& state) { body["control"] = dump_control(state, now); });
    this->decision->inspect(
        [&body, now](const decision::router_state& state) { body["decision"] = dump_router(state, now); });
    return json_response(body);
}

wire::http_response operators_server::handle_explain(const std::string& request_id) {
    json body;
    this->decision->inspect([&](const decision::router_state& state) {
        if (const auto* const trace = decision::explain(state, {request_id}); trace != nullptr)
            body = dump_explanation(*trace);
    });
    if (body.is_null())
        return text_response(not_found_status, "this host knows no such request\n");
    return json_response(body);
}

} // namespace postpaddle::service
