// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/peer_exchange.h>

#include <base/json_parser.h>
#include <gateway/caller_bounds.h>
#include <gateway/collected_bodies.h>
#include <gateway/forwarding/forwarded_request.h>
#include <gateway/forwarding/forwarding_receiver.h>
#include <gateway/operations/state_dump.h>
#include <gateway/peers/peer_codec.h>
#include <gateway/store_sync/registry_rows.h>
#include <gateway/stream_origin/version_splits.h>
#include <gateway/upstreams/upstream_advertisements.h>
#include <host/adaptive_timeout.h>

#include <base/compression.h>
#include <base/parse_number.h>
#include <base/try.h>
#include <wire/bounded_response.h>
#include <wire/endpoint.h>
#include <wire/request_target.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr const char* heartbeat_path = "/peers/heartbeat";
constexpr const char* settings_path = "/peers/settings";
constexpr const char* registry_path = "/peers/registry";
constexpr const char* state_path = "/state";
constexpr std::string_view explain_path = "/explain";
constexpr const char* metrics_path = "/metrics";
constexpr auto peer_timeout = 500ms;
/// Limit on a heartbeat, which names some dozen hosts and what is advertised of upstreams.
constexpr std::size_t max_heartbeat_bytes = 1024UL * 1024;
/// Idle timeout of connections from other hosts. In a large system the same two hosts seldom talk again soon,
/// and each idle connection holds a coroutine's stack.
constexpr auto peer_idle_timeout = 5'000ms;
/// Size limit of other hosts' requests, unless callers are allowed more: a forwarded request was read under
/// the limits in force at its sender, whose version may be another. This host declines it for that, but has
/// to read it first; a connection that just ends would mean that the request may have run.
constexpr std::size_t max_forwarded_bytes = 64UL * 1024 * 1024;
/// Connections of other hosts and operators; one that rests gives way to a new one.
constexpr std::size_t max_connections_of_hosts = 1'000;
/// Timeout of a settings transfer: until it begins, and then between any two parts of it.
constexpr auto transfer_timeout = 1'500ms;
/// Size limit of settings from other hosts, compressed or not.
constexpr std::size_t max_document_bytes = wire::response_bounds{}.body_bytes;
/// Concurrent registry and settings transfers. Rejected hosts ask another host or read the store. Without a
/// limit, the seeds would serve all hosts at once when all start together: a thousand hosts that all know the
/// same three.
constexpr int max_transfers = 4;
/// HTTP's name for the zlib format.
constexpr const char* compressed_encoding = "deflate";
/// Headers of a transferred registry, see `registry_position`.
constexpr const char* next_header = "Postpaddle-Registry-Next";
constexpr const char* age_header = "Postpaddle-Registry-Age-Ms";
/// Peers notified at once of new settings; each notifies as many others.
constexpr std::size_t fanout = 2;
/// Other hosts listed in a heartbeat.
constexpr std::size_t heartbeat_hosts = 16;
/// Suspected requests listed in a heartbeat, the most suspect first; about 100 bytes each.
constexpr std::size_t heartbeat_suspects = 16;
/// Pause before asking the store again for the list of hosts.
constexpr base::duration join_retry_interval = 1'000ms;
constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int unavailable_status = 503;

/// Limits of the other hosts' requests, which may be their callers'.
wire::connection_bounds bounds_of_hosts(const gateway_state& state) {
    wire::connection_bounds bounds = {.body_bytes = max_forwarded_bytes, .idle_timeout = peer_idle_timeout};
    const wire::connection_bounds callers = caller_bounds(state);
    bounds.reserved_body_bytes = callers.reserved_body_bytes;
    bounds.body_bytes = std::max(bounds.body_bytes, callers.reserved_body_bytes);
    return bounds;
}

/// The answer to a request, maybe a forwarded one, that was not read whole: it has not run.
wire::http_response answer_without_room() {
    wire::http_response response{unavailable_status, {}, ""};
    set_forwarding_label(response.headers, {.outcome = forwarding_outcome::unavailable});
    return response;
}

std::shared_ptr<wire::collected_data> account_of_requests(const gateway_state& state) {
    return state.collected == nullptr ? nullptr : state.collected->requests;
}

bool is_transfer(const wire::http_request& request) {
    return request.target == settings_path || request.target == registry_path;
}

/// The body of a possibly compressed response; nothing if it is malformed.
std::optional<std::string> decoded_body(const wire::http_response& answer) {
    if (wire::find_header(answer.headers, "Content-Encoding") != compressed_encoding)
        return answer.body;
    return base::decompress(answer.body, max_document_bytes);
}

bool accepts_compressed(const wire::http_request& request) {
    return wire::find_header(request.headers, "Accept-Encoding") == compressed_encoding;
}

/// Up to where the registry of an answer is complete.
struct registry_position {
    std::uint64_t next = 0;          ///< Offset after the newest record.
    std::chrono::milliseconds age{}; ///< The store had no newer record that long before the answer.
};

/// Nothing if the answer doesn't say so.
std::optional<registry_position> registry_position_of(const wire::http_headers& headers) {
    const auto next = base::parse_number<std::uint64_t>(wire::find_header(headers, next_header));
    const auto age = base::parse_number<std::uint32_t>(wire::find_header(headers, age_header));
    if (!next || !age)
        return std::nullopt;
    return registry_position{.next = *next, .age = std::chrono::milliseconds(*age)};
}

/// The compressed text, cached per revision.
wire::http_response compressed_answer(compressed_text& cached, std::uint64_t revision,
                                      const std::function<std::string()>& text) {
    if (cached.revision != revision)
        cached = {.revision = revision, .bytes = base::compress(text())};
    return {ok_status, {{"Content-Encoding", compressed_encoding}}, cached.bytes};
}

} // namespace

peer_exchange::peer_exchange(gateway_state& state, ports::control_feed& feed) : state(&state), feed(&feed) {}

wire::expected<void> peer_exchange::listen() {
    POSTPADDLE_TRY(endpoint, wire::parse_endpoint(this->state->process->peers));
    POSTPADDLE_TRY(created, wire::http_listener::create(
                                *this->state->context,
                                {.address = endpoint.address().to_string(),
                                 .port = endpoint.port(),
                                 .bounds = [state = this->state] { return bounds_of_hosts(*state); },
                                 .connections = max_connections_of_hosts,
                                 .account = account_of_requests(*this->state)}));
    this->listener = std::move(created);
    this->listener->start([this](wire::caller_connection& connection, wire::yield_context yield) {
        this->serve(connection, yield);
    });
    return {};
}

void peer_exchange::start() {
    wire::spawn_coroutine(*this->state->context, [this](wire::yield_context yield) { this->join(yield); });
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->run_heartbeats(yield); });
}

void peer_exchange::serve(wire::caller_connection& connection, wire::yield_context yield) {
    while (!connection.is_closed()) {
        const auto request = connection.read_request(yield);
        if (!request && request.error().failure == wire::wire_failure::no_room)
            connection.send_and_close(answer_without_room(), yield);
        if (!request || !this->serve_one(*request, connection, yield) || !connection.is_keep_alive())
            return;
    }
}

bool peer_exchange::serve_one(const wire::http_request& request, wire::caller_connection& connection,
                              wire::yield_context yield) {
    if (request.target == forwarding_path) {
        serve_forwarded(*this->state, connection, request, yield);
        return !connection.is_closed();
    }
    if (!is_transfer(request))
        return connection.send(this->answer(request), yield).has_value();
    if (this->transfers >= max_transfers) {
        this->state->metrics->count("handovers_refused_total");
        return connection.send({unavailable_status, {}, ""}, yield).has_value();
    }
    ++this->transfers;
    const bool is_sent = connection.send(this->answer(request), yield).has_value();
    --this->transfers;
    return is_sent;
}

wire::http_response peer_exchange::answer(const wire::http_request& request) {
    if (request.target == heartbeat_path) {
        this->handle_heartbeat(request.body);
        return {ok_status, {}, this->own_heartbeat()};
    }
    if (request.target == settings_path && this->state->settings)
        return this->settings_answer(request);
    if (request.target == registry_path && this->state->has_registry)
        return this->registry_answer(request);
    if (request.target == cell_loads_path)
        return {ok_status,
                {},
                encode_cell_loads(host::loads_to_report(this->state->instances, this->state->clock->now()))};
    if (request.target == state_path)
        return {
            ok_status, {{"Content-Type", "application/json"}}, to_operator_text(dump_state(*this->state))};
    if (decision::path_of_target(request.target) == explain_path) {
        const json traces = traces_of(*this->state, wire::find_parameter(request.target, "id"));
        return {traces.empty() ? not_found_status : ok_status,
                {{"Content-Type", "application/json"}},
                to_operator_text(traces)};
    }
    if (request.target == metrics_path)
        return {ok_status, {{"Content-Type", "text/plain; version=0.0.4"}}, export_metrics(*this->state)};
    return {not_found_status, {}, ""};
}

wire::http_response peer_exchange::settings_answer(const wire::http_request& request) {
    const std::string& text = this->state->settings->document.text;
    if (!accepts_compressed(request))
        return {ok_status, {}, text};
    return compressed_answer(this->compressed_settings, settings_version(*this->state), [&] { return text; });
}

wire::http_response peer_exchange::registry_answer(const wire::http_request& request) {
    const auto text = [this] {
        this->state->metrics->count("registry_encodings_total");
        return base::write_json(encode_registry(this->state->instances));
    };
    wire::http_response answer =
        accepts_compressed(request)
            ? compressed_answer(this->compressed_registry, this->state->registry_revision, text)
            : wire::http_response{ok_status, {}, text()};
    const base::duration age = this->state->clock->now() - this->state->registry_known_until;
    answer.headers.push_back({next_header, std::to_string(this->state->registry_next)});
    answer.headers.push_back(
        {age_header, std::to_string(std::chrono::ceil<std::chrono::milliseconds>(age).count())});
    return answer;
}

std::string peer_exchange::own_heartbeat() const {
    const base::time_point now = this->state->clock->now();
    const heartbeat message = {
        .host = this->state->process->name,
        .address = this->state->process->peers,
        .availability_zone = this->state->process->availability_zone,
        .settings_version = settings_version(*this->state),
        .is_leaving = this->state->is_draining,
        .splits_end = this->state->splits == nullptr ? 0 : this->state->splits->end(),
        .others = host::most_recently_seen(this->state->peers, heartbeat_hosts, now),
        .suspects = host::reports_to_resend(this->state->quarantine, heartbeat_suspects),
        .zones = decision::zone_records_of(this->state->evacuations),
        .advertisements = advertisements_to_send(*this->state, advertisement_source::any)};
    return base::write_json(encode_heartbeat(message, now));
}

void peer_exchange::handle_heartbeat(const std::string& text) {
    const base::time_point now = this->state->clock->now();
    const auto message = decode_heartbeat(text, now);
    if (!message) {
        this->state->metrics->count("malformed_heartbeats_total");
        return;
    }
    if (message->host == this->state->process->name)
        return;
    host::record_contact(this->state->peers, message->host, message->address, message->availability_zone,
                         now);
    this->state->on_suspects_reported(message->suspects, message->address);
    if (message->is_leaving)
        host::record_leaving(this->state->peers, message->host);
    for (const auto& [name, other] : message->others)
        if (name != this->state->process->name)
            host::record_gossip(this->state->peers, name, other);
    handle_advertisements(*this->state, message->advertisements);
    if (this->state->splits != nullptr)
        this->state->splits->did_read_elsewhere(message->splits_end);
    if (apply_zone_records(*this->state, message->zones, "peer"))
        this->announce_settings();
    const bool is_newer = message->settings_version > settings_version(*this->state);
    const bool is_fetching = this->state->peer_transfer_since.has_value();
    if (!is_newer || is_fetching ||
        is_settings_transfer_pending(*this->state, this->state->store_transfer_since))
        return;
    wire::spawn_coroutine(*this->state->context,
                          [this, address = message->address](wire::yield_context yield) {
                              this->fetch_settings(address, yield);
                          });
}

void peer_exchange::send_heartbeat(const std::string& address, wire::yield_context yield) {
    const auto answer =
        wire::fetch_bounded(*this->state->pool, address,
                            wire::json_request(heartbeat_path, this->own_heartbeat(), {{"Host", address}}),
                            {.timeout = peer_timeout, .body_bytes = max_heartbeat_bytes}, yield);
    this->state->metrics->count(answer ? "heartbeats_total" : "heartbeats_lost_total");
    if (answer)
        this->handle_heartbeat(answer->body);
}

std::optional<wire::http_response> peer_exchange::fetch_from_peer(const std::string& address,
                                                                  const char* path,
                                                                  std::chrono::milliseconds limit,
                                                                  wire::yield_context yield) {
    const wire::http_headers headers = {{"Host", address}, {"Accept-Encoding", compressed_encoding}};
    auto answer = wire::fetch_large(*this->state->pool, address, wire::get_request(path, headers),
                                    {.head_timeout = limit, .stall_timeout = limit}, yield);
    if (!answer || answer->status != ok_status)
        return std::nullopt;
    auto text = decoded_body(*answer);
    if (!text) {
        this->state->metrics->count("malformed_peer_answers_total");
        return std::nullopt;
    }
    answer->body = std::move(*text);
    return std::move(*answer);
}

void peer_exchange::fetch_settings(const std::string& address, wire::yield_context yield) {
    if (this->state->peer_transfer_since)
        return;
    this->state->peer_transfer_since = this->state->clock->now();
    const auto answer = this->fetch_from_peer(address, settings_path, transfer_timeout, yield);
    this->state->peer_transfer_since.reset();
    if (!answer)
        return;
    auto document = this->feed->read_document(answer->body);
    if (document && apply_settings(*this->state, std::move(*document), "peer"))
        this->announce_settings();
}

void peer_exchange::fetch_registry(const std::string& address, wire::yield_context yield) {
    const base::time_point asked = this->state->clock->now();
    const auto answer = this->fetch_from_peer(address, registry_path, peer_timeout, yield);
    if (!answer)
        return;
    const auto position = registry_position_of(answer->headers);
    auto changes = decode_changes(base::parse_json(answer->body));
    if (!changes)
        this->state->metrics->count("malformed_peer_answers_total");
    else if (position)
        this->state->on_registry_received(
            {.changes = std::move(*changes), .unreadable = {}, .next = position->next},
            asked - position->age);
}

void peer_exchange::ask_for_registry(wire::yield_context yield) {
    for (const std::string& address :
         host::sample_peers(this->state->peers, 1, this->state->clock->now(), this->state->random)) {
        this->send_heartbeat(address, yield);
        this->fetch_registry(address, yield);
    }
}

void peer_exchange::send_heartbeats(std::size_t count) {
    for (const std::string& address :
         host::sample_peers(this->state->peers, count, this->state->clock->now(), this->state->random))
        wire::spawn_coroutine(*this->state->context, [this, address](wire::yield_context yield) {
            this->send_heartbeat(address, yield);
        });
}

void peer_exchange::ask_for_settings() { this->send_heartbeats(1); }

void peer_exchange::announce_settings() { this->send_heartbeats(fanout); }

void peer_exchange::announce_leaving() { this->send_heartbeats(fanout); }

void peer_exchange::run_heartbeats(wire::yield_context yield) {
    std::uniform_real_distribution<double> part(0.8, 1.2);
    wire::boot_timer timer(*this->state->context);
    wire::error_code ignored;
    while (true) {
        timer.expires_after(base::scaled(this->state->process->heartbeat, part(this->state->random)));
        timer.async_wait(yield[ignored]);
        this->send_heartbeats(1);
    }
}

void peer_exchange::join(wire::yield_context yield) {
    const ports::host_entry own = {this->state->process->name, this->state->process->peers,
                                   this->state->process->availability_zone};
    host::adaptive_timeout timeout;
    wire::boot_timer timer(*this->state->context);
    wire::error_code ignored;
    while (true) {
        const auto announced = this->feed->announce(own, timeout.limit, yield);
        const auto hosts =
            announced ? this->feed->hosts(timeout.limit, yield) : tl::make_unexpected(announced.error());
        if (hosts) {
            for (const ports::host_entry& entry : *hosts)
                if (entry.name != own.name)
                    host::record_gossip(this->state->peers, entry.name,
                                        {.address = entry.address,
                                         .zone = entry.availability_zone,
                                         .last_seen = this->state->clock->now()});
            this->state->has_host_list = true;
            if (this->state->on_host_list_read)
                this->state->on_host_list_read();
            return;
        }
        host::did_time_out(timeout);
        timer.expires_after(join_retry_interval);
        timer.async_wait(yield[ignored]);
    }
}

} // namespace postpaddle::gateway
