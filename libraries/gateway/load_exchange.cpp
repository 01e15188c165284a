// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/load_exchange.h>

#include <gateway/peer_codec.h>

#include <base/try.h>
#include <wire/endpoint.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;
using udp = wire::asio::ip::udp;

/// Changes within this time go out in one report.
constexpr base::duration coalescing = 3ms;
/// A report goes out after this time even without a change.
constexpr base::duration refresh_interval = 1'000ms;

} // namespace

load_exchange::load_exchange(gateway_state& state)
    : state(&state), socket(*state.context), tell_timer(*state.context), refresh_timer(*state.context),
      incarnation(static_cast<std::uint64_t>(state.clock->wall_now().time_since_epoch().count())) {}

wire::expected<void> load_exchange::listen() {
    if (this->state->process->load_port == 0)
        return {};
    POSTPADDLE_TRY(endpoint, wire::parse_endpoint(this->state->process->peers));
    wire::error_code error;
    const udp::endpoint own(endpoint.address(), this->state->process->load_port);
    this->socket.open(own.protocol(), error);
    if (!error)
        this->socket.bind(own, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (error)
        return tl::make_unexpected(wire::wire_error{wire::wire_failure::bad_address, error.message()});
    return {};
}

void load_exchange::start() {
    if (!this->socket.is_open())
        return;
    this->state->on_own_load_changed = [this] { this->did_change(); };
    this->hear();
    this->refresh();
}

void load_exchange::hear() {
    this->socket.async_receive_from(wire::asio::buffer(this->datagram), this->sender,
                                    [this](const wire::error_code& error, std::size_t size) {
                                        if (!error)
                                            this->take(size);
                                        if (error != wire::asio::error::operation_aborted)
                                            this->hear();
                                    });
}

void load_exchange::take(std::size_t size) {
    const auto report = decode_load({this->datagram.data(), size});
    if (!report || report->host == this->state->process->name)
        return;
    const auto change = host::take_report(this->state->loads, *report, this->state->clock->now());
    if (!change)
        return;
    host::enter_sums(this->state->instances, this->state->loads, change->keys);
    if (change->has_freed)
        this->state->did_change_places();
}

void load_exchange::did_change() {
    if (std::exchange(this->is_telling_due, true))
        return;
    this->tell_timer.expires_after(coalescing);
    this->tell_timer.async_wait([this](const wire::error_code& error) {
        this->is_telling_due = false;
        if (!error)
            this->tell();
    });
}

host::load_report load_exchange::own_report() {
    host::load_report report;
    report.host = this->state->process->name;
    report.incarnation = this->incarnation;
    report.sequence = ++this->sequence;
    for (const auto& [id, known] : this->state->instances.by_id)
        if (known.own.requests > 0 && known.entry.stage != settings::engine_stage::none)
            report.uses[host::key_of(id)] = known.own;
    const base::time_point now = this->state->clock->now();
    for (const auto& [id, known] : this->state->instances.by_id) {
        if (known.state != decision::listing::listed)
            continue;
        if (decision::is_aside(known, now))
            report.avoided.push_back(host::key_of(id));
        if (decision::is_out_of_service(known, now))
            report.out_of_service.push_back(host::key_of(id));
    }
    for (const waiting_request* const waiting : this->state->waiting)
        report.waiters.push_back({now - waiting->first_try, waiting->memory_tokens});
    return report;
}

void load_exchange::tell() {
    if (!this->state->process->policy.tell_loads)
        return;
    const host::load_report report = this->own_report();
    this->has_told_work = !report.uses.empty() || !report.waiters.empty() || !report.avoided.empty();
    const std::string bytes = encode_load(report);
    for (const auto& [name, known] : this->state->peers.by_name) {
        const auto endpoint = wire::parse_endpoint(known.address);
        if (!endpoint || known.is_leaving)
            continue;
        wire::error_code ignored;
        this->socket.send_to(wire::asio::buffer(bytes),
                             udp::endpoint(endpoint->address(), this->state->process->load_port), 0, ignored);
    }
}

void load_exchange::refresh() {
    this->refresh_timer.expires_after(refresh_interval);
    this->refresh_timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        const bool is_any_dropped = host::drop_silent(this->state->loads, this->state->clock->now());
        host::enter_all_sums(this->state->instances, this->state->loads);
        if (is_any_dropped)
            this->state->did_change_places();
        if (this->has_told_work)
            this->did_change();
        this->refresh();
    });
}

} // namespace postpaddle::gateway
