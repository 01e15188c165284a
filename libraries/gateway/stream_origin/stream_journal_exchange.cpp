// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/stream_journal_exchange.h>

#include <base/hashing.h>

#include <algorithm>
#include <array>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;
using message_kind = journal_message_kind;

/// Pauses between repetitions of an unanswered message. An answer takes a call to the store, and up to 100 ms
/// for the write before it.
constexpr std::array<base::duration, 2> repetition_pauses = {120ms, 80ms};
constexpr base::duration cleanup_interval = 2s;

} // namespace

stream_journal_exchange::stream_journal_exchange(gateway_state& state, ports::control_feed& feed,
                                                 peer_datagrams& datagrams)
    : state(&state), datagrams(&datagrams) {
    for (std::uint32_t number = 0; number < host::journal_partitions; ++number)
        this->partitions.push_back(std::make_unique<journal_partition>(state, feed, number));
}

void stream_journal_exchange::start() {
    this->state->stream_journal = this;
    this->datagrams->on(datagram_kind::stream_journal,
                        [this](std::string_view bytes) { return this->handle(bytes); });
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->remove_expired(yield); });
}

void stream_journal_exchange::remove_expired(wire::yield_context yield) {
    wire::boot_timer timer(*this->state->context);
    wire::error_code ignored;
    while (true) {
        timer.expires_after(cleanup_interval);
        timer.async_wait(yield[ignored]);
        for (const auto& partition : this->partitions)
            partition->remove_expired();
    }
}

journal_partition& stream_journal_exchange::partition_of(const host::stream_keys& keys) {
    return *this->partitions[host::journal_partition_of(keys)];
}

std::string stream_journal_exchange::address_in_charge(std::uint32_t partition) {
    // Rendezvous hashing over the hosts that may be alive.
    const base::time_point now = this->state->clock->now();
    std::uint64_t highest = base::hash64(this->state->process->name.value, partition);
    std::string address;
    for (const auto& [host, known] : this->state->peers.by_name) {
        const std::uint64_t value = base::hash64(host.value, partition);
        if (value <= highest || !host::may_be_alive(known, now))
            continue;
        highest = value;
        address = known.address;
    }
    return address;
}

std::optional<journal_message> stream_journal_exchange::ask(journal_message message,
                                                            const host::stream_keys& keys,
                                                            wire::yield_context yield) {
    const std::string address = this->address_in_charge(host::journal_partition_of(keys));
    if (address.empty() || !this->datagrams->is_open())
        return std::nullopt;
    message.from = this->state->process->name;
    message.number = ++this->last_number;
    const std::string bytes = encode_journal_message(message);
    pending_message sent(*this->state->context);
    // Coroutines may be unwound after this object has been destroyed.
    const auto all = this->pending;
    all->emplace(message.number, &sent);
    wire::error_code ignored;
    for (const base::duration pause : repetition_pauses) {
        this->datagrams->send(datagram_kind::stream_journal, bytes, {address});
        sent.wake.expires_after(pause);
        sent.wake.async_wait(yield[ignored]);
        if (sent.answer)
            break;
    }
    all->erase(message.number);
    return sent.answer;
}

bool stream_journal_exchange::write(const host::journal_record& record, wire::yield_context yield) {
    const auto answer = this->ask({.kind = message_kind::record, .record = record}, record.keys, yield);
    if (answer && answer->kind == message_kind::written)
        return true;
    return this->partition_of(record.keys).write(record, yield);
}

std::optional<host::journal_findings> stream_journal_exchange::find(const host::stream_keys& keys,
                                                                    wire::yield_context yield) {
    const host::journal_record sought{.keys = keys, .origin = {}};
    const auto answer = this->ask({.kind = message_kind::question, .record = sought}, keys, yield);
    if (answer && answer->kind == message_kind::findings)
        return answer->findings;
    return this->partition_of(keys).find(keys, yield);
}

bool stream_journal_exchange::handle(std::string_view bytes) {
    const auto message = decode_journal_message(bytes);
    if (!message)
        return false;
    if (message->kind == message_kind::record || message->kind == message_kind::question) {
        this->answer(*message);
        return true;
    }
    const auto sent = this->pending->find(message->number);
    if (sent != this->pending->end()) {
        sent->second->answer = *message;
        sent->second->wake.cancel();
    }
    return true;
}

void stream_journal_exchange::answer(const journal_message& asked) {
    wire::spawn_coroutine(*this->state->context, [this, asked](wire::yield_context yield) {
        journal_message reply{
            .kind = message_kind::unavailable, .from = this->state->process->name, .number = asked.number};
        journal_partition& partition = this->partition_of(asked.record->keys);
        if (asked.kind == message_kind::record) {
            if (partition.write(*asked.record, yield))
                reply.kind = message_kind::written;
        } else if (auto findings = partition.find(asked.record->keys, yield)) {
            reply.kind = message_kind::findings;
            reply.findings = std::move(findings);
        }
        this->reply(asked.from, reply);
    });
}

void stream_journal_exchange::reply(const base::host_id& host, const journal_message& message) {
    const auto known = this->state->peers.by_name.find(host);
    if (known != this->state->peers.by_name.end())
        this->datagrams->send(datagram_kind::stream_journal, encode_journal_message(message),
                              {known->second.address});
}

} // namespace postpaddle::gateway
