// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/stream_origin_exchange.h>

#include <gateway/stream_origin/version_splits.h>

#include <algorithm>
#include <array>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;
using message_kind = stream_origin_message_kind;

/// Hosts besides this one that hold a record.
constexpr std::size_t replicas = 5;
/// Confirmations for which the first event of a stream waits; a single one suffices if they take long.
constexpr std::size_t wanted_confirmations = 2;
/// Pauses between repetitions of an unanswered message. Longer than a round trip between regions at first;
/// the sum is the longest time for which an unreachable host delays a stream.
constexpr std::array<base::duration, 3> repetition_pauses = {30ms, 60ms, 120ms};
/// How long the ring of a large system is used although hosts have come.
constexpr base::duration ring_lifetime = 1s;
/// With up to this many other hosts the ring follows each change at once.
constexpr std::size_t max_hosts_of_cheap_ring = 64;
/// How long after its start a host waits until it knows whom to ask.
constexpr base::duration max_wait_for_host_list = 500ms;
constexpr base::duration host_list_poll_interval = 5ms;

/// Keeps an element in a shared set for as long as the object lives. The set may outlive its first owner, as
/// coroutines are unwound after that.
template <class Element> class scoped_member {
public:
    scoped_member(std::shared_ptr<std::set<Element*>> owner, Element& member)
        : set(std::move(owner)), element(&member) {
        this->set->insert(this->element);
    }
    scoped_member(const scoped_member&) = delete;
    scoped_member(scoped_member&&) = delete;
    scoped_member& operator=(const scoped_member&) = delete;
    scoped_member& operator=(scoped_member&&) = delete;
    ~scoped_member() { this->set->erase(this->element); }

private:
    std::shared_ptr<std::set<Element*>> set;
    Element* element;
};

} // namespace

stream_origin_exchange::pending_message::pending_message(wire::asio::io_context& context,
                                                         const stream_origin_message& message)
    : bytes(encode_stream_origin(message)), keys(message.keys), kind(message.kind), wake(context) {}

stream_origin_exchange::stream_origin_exchange(gateway_state& state, peer_datagrams& datagrams)
    : state(&state), datagrams(&datagrams) {}

void stream_origin_exchange::start() {
    this->state->stream_origins = this;
    this->datagrams->on(datagram_kind::stream_origin,
                        [this](std::string_view bytes) { return this->handle(bytes); });
}

const host::replica_ring& stream_origin_exchange::current_ring() {
    const base::time_point now = this->state->clock->now();
    const std::size_t hosts = this->state->peers.by_name.size();
    const bool may_remake = hosts <= max_hosts_of_cheap_ring || now - this->ring_made_at > ring_lifetime;
    const bool is_outdated = this->ring.points.empty() || this->ring.hosts != hosts;
    if (may_remake && is_outdated) {
        this->ring = host::make_replica_ring(this->state->peers, this->state->process->name);
        this->ring_made_at = now;
    }
    return this->ring;
}

void stream_origin_exchange::await_host_list(wire::yield_context yield) const {
    const base::time_point until = this->state->started + max_wait_for_host_list;
    wire::boot_timer timer(*this->state->context);
    while (!this->state->has_host_list && this->state->clock->now() < until) {
        timer.expires_after(host_list_poll_interval);
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

host::replica_query stream_origin_exchange::query_for(const host::stream_key& key,
                                                      const allowed_zones& zones) const {
    return {.key = host::number_of(key), .allowed_zones = zones, .now = this->state->clock->now()};
}

std::map<base::host_id, std::string>
stream_origin_exchange::addresses_of(const std::vector<base::host_id>& hosts) const {
    std::map<base::host_id, std::string> addresses;
    for (const base::host_id& host : hosts)
        addresses[host] = this->state->peers.by_name.at(host).address;
    return addresses;
}

void stream_origin_exchange::record_here(const host::stream_keys& keys, const host::stream_origin& origin,
                                         base::duration lifetime) {
    const base::time_point now = this->state->clock->now();
    this->origins.remove_expired(now);
    this->origins.record(keys, origin, now + lifetime);
    this->state->metrics->set("stream_origins", static_cast<double>(this->origins.size()));
}

void stream_origin_exchange::record(const host::stream_keys& keys, const host::stream_origin& origin,
                                    base::duration lifetime, const allowed_zones& zones,
                                    wire::yield_context yield) {
    this->record_here(keys, origin, lifetime);
    if (!this->datagrams->is_open())
        return;
    pending_message told(*this->state->context,
                         {.kind = message_kind::record,
                          .from = this->state->process->name,
                          .keys = keys,
                          .origin = origin,
                          .lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(lifetime)});
    told.unanswered = this->addresses_of(host::choose_replicas(this->current_ring(), this->state->peers,
                                                               this->query_for(keys.by_id, zones), replicas));
    told.needed = std::min(wanted_confirmations, told.unanswered.size());
    this->await_answers(told, yield);
    this->state->metrics->count(told.received > 0 ? "stream_origins_confirmed_total"
                                                  : "stream_origins_unconfirmed_total");
}

std::optional<host::stream_origin> stream_origin_exchange::infer(const std::string& service) const {
    const gateway_state& known = *this->state;
    const base::time_point now = known.clock->now();
    if (service.empty() || !known.settings || now - known.registry_known_until > registry_bound(known))
        return std::nullopt;
    const auto version = decision::sole_version(known.software_versions, known.instances, service,
                                                longest_return(known, service), now);
    if (!version)
        return std::nullopt;
    return host::stream_origin{.service = service, .software_version = *version};
}

std::optional<host::stream_origin> stream_origin_exchange::find(const host::stream_keys& keys,
                                                                const std::string& service,
                                                                const allowed_zones& zones,
                                                                wire::yield_context yield) {
    if (auto known = this->origins.find(keys, this->state->clock->now()))
        return known;
    if (auto inferred = this->infer(service))
        return inferred;
    if (!this->datagrams->is_open())
        return std::nullopt;
    this->await_host_list(yield);
    pending_message asked(*this->state->context,
                          {.kind = message_kind::question,
                           .from = this->state->process->name,
                           .keys = keys,
                           .origin = host::stream_origin{.service = service, .software_version = {}}});
    // Records are found by the attempt's id only. Without one, hosts are asked what they infer.
    const bool is_named = keys.by_id != host::stream_key{};
    if (!is_named && service.empty())
        return std::nullopt;
    const auto query = this->query_for(is_named ? keys.by_id : keys.by_content, zones);
    asked.unanswered =
        this->addresses_of(host::hosts_to_ask(this->current_ring(), this->state->peers, query));
    asked.needed = asked.unanswered.size();
    this->await_answers(asked, yield);
    return asked.origin;
}

void stream_origin_exchange::await_answers(pending_message& sent, wire::yield_context yield) {
    const scoped_member member(this->pending, sent);
    for (const base::duration pause : repetition_pauses) {
        if (sent.received >= sent.needed)
            return;
        std::vector<std::string> addresses;
        for (const auto& [host, address] : sent.unanswered)
            addresses.push_back(address);
        this->datagrams->send(datagram_kind::stream_origin, sent.bytes, addresses);
        sent.wake.expires_after(pause);
        wire::error_code ignored;
        sent.wake.async_wait(yield[ignored]);
        if (sent.kind == message_kind::record)
            sent.needed = std::min<std::size_t>(sent.needed, 1);
    }
}

bool stream_origin_exchange::handle(std::string_view bytes) {
    const auto message = decode_stream_origin(bytes);
    if (!message)
        return false;
    host::record_received(this->state->peers, message->from, this->state->clock->now());
    switch (message->kind) {
    case message_kind::record:
        this->handle_record(*message);
        break;
    case message_kind::question:
        this->handle_question(*message);
        break;
    case message_kind::acknowledged:
    case message_kind::answer:
    case message_kind::inference:
        this->handle_answer(*message);
        break;
    }
    return true;
}

void stream_origin_exchange::handle_record(const stream_origin_message& message) {
    this->record_here(message.keys, *message.origin, message.lifetime);
    this->reply(
        message.from,
        {.kind = message_kind::acknowledged, .from = this->state->process->name, .keys = message.keys});
}

void stream_origin_exchange::handle_question(const stream_origin_message& message) {
    auto origin = this->origins.find(message.keys, this->state->clock->now());
    auto kind = message_kind::answer;
    if (!origin && message.origin) {
        origin = this->infer(message.origin->service);
        kind = origin ? message_kind::inference : message_kind::answer;
    }
    this->reply(message.from, {.kind = kind,
                               .from = this->state->process->name,
                               .keys = message.keys,
                               .origin = std::move(origin)});
}

void stream_origin_exchange::handle_answer(const stream_origin_message& message) {
    const auto answered_kind =
        message.kind == message_kind::acknowledged ? message_kind::record : message_kind::question;
    for (pending_message* const sent : *this->pending) {
        if (sent->keys != message.keys || sent->kind != answered_kind ||
            sent->unanswered.erase(message.from) == 0)
            continue;
        ++sent->received;
        if (message.origin) {
            sent->origin = message.origin;
            sent->needed = 0;
        }
        if (sent->received >= sent->needed)
            sent->wake.cancel();
    }
}

void stream_origin_exchange::reply(const base::host_id& host, const stream_origin_message& message) {
    const auto known = this->state->peers.by_name.find(host);
    if (known != this->state->peers.by_name.end())
        this->datagrams->send(datagram_kind::stream_origin, encode_stream_origin(message),
                              {known->second.address});
}

} // namespace postpaddle::gateway
