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
/// How long it is not looked again which hosts are in charge.
constexpr base::duration first_hosts_lifetime = 500ms;
/// So that a datagram is rarely split.
constexpr std::size_t records_per_datagram = 16;

/// Keeps a message among those that wait for as long as the object lives. Coroutines may be unwound after
/// the exchange has been destroyed.
template <class Message> class scoped_number {
public:
    scoped_number(std::shared_ptr<std::map<std::uint64_t, Message*>> messages, std::uint64_t number,
                  Message& message)
        : messages(std::move(messages)), number(number) {
        this->messages->emplace(number, &message);
    }
    scoped_number(const scoped_number&) = delete;
    scoped_number(scoped_number&&) = delete;
    scoped_number& operator=(const scoped_number&) = delete;
    scoped_number& operator=(scoped_number&&) = delete;
    ~scoped_number() { this->messages->erase(this->number); }

private:
    std::shared_ptr<std::map<std::uint64_t, Message*>> messages;
    std::uint64_t number;
};

} // namespace

stream_journal_exchange::stream_journal_exchange(gateway_state& state, ports::control_feed& feed,
                                                 peer_datagrams& datagrams)
    : state(&state), datagrams(&datagrams), last_number(state.random()) {
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

const stream_journal_exchange::first_host&
stream_journal_exchange::first_other_host(std::uint32_t partition) {
    const base::time_point now = this->state->clock->now();
    if (!this->first_hosts.empty() && now - this->first_hosts_found_at < first_hosts_lifetime)
        return this->first_hosts[partition];
    this->first_hosts_found_at = now;
    this->first_hosts.assign(host::journal_partitions, {});
    for (std::uint32_t number = 0; number < host::journal_partitions; ++number) {
        // Rendezvous hashing over the hosts that may be alive.
        std::uint64_t highest = 0;
        for (const auto& [host, known] : this->state->peers.by_name) {
            const std::uint64_t value = base::hash64(host.value, number);
            if (value <= highest || !host::may_be_alive(known, now))
                continue;
            highest = value;
            this->first_hosts[number].address = known.address;
        }
        this->first_hosts[number].is_before_own =
            highest > base::hash64(this->state->process->name.value, number);
    }
    return this->first_hosts[partition];
}

std::optional<journal_message> stream_journal_exchange::ask(journal_message message, std::uint32_t partition,
                                                            wire::yield_context yield) {
    const std::string address = this->first_other_host(partition).address;
    if (address.empty() || !this->datagrams->is_open())
        return std::nullopt;
    message.from = this->state->process->name;
    message.number = ++this->last_number;
    const std::string bytes = encode_journal_message(message);
    pending_message sent(*this->state->context);
    const scoped_number entry(this->pending, message.number, sent);
    wire::error_code ignored;
    for (const base::duration pause : repetition_pauses) {
        this->datagrams->send(datagram_kind::stream_journal, bytes, {address});
        sent.wake.expires_after(pause);
        sent.wake.async_wait(yield[ignored]);
        if (sent.answer)
            break;
    }
    return sent.answer;
}

bool stream_journal_exchange::write_to(std::uint32_t partition,
                                       const std::vector<host::journal_record>& records,
                                       wire::yield_context yield) {
    const auto write_elsewhere = [&] {
        const auto answer = this->ask({.kind = message_kind::record, .records = records}, partition, yield);
        return answer && answer->kind == message_kind::written;
    };
    const auto write_here = [&] { return this->partitions[partition]->write(records, yield); };
    if (this->first_other_host(partition).is_before_own)
        return write_elsewhere() || write_here();
    return write_here() || write_elsewhere();
}

bool stream_journal_exchange::write(const host::journal_record& record, wire::yield_context yield) {
    return this->write_to(host::journal_partition_of(record.keys), {record}, yield);
}

void stream_journal_exchange::write_later(const std::vector<host::journal_record>& records) {
    std::map<std::uint32_t, std::vector<host::journal_record>> by_partition;
    for (const host::journal_record& record : records)
        by_partition[host::journal_partition_of(record.keys)].push_back(record);
    for (auto& [number, all] : by_partition)
        wire::spawn_coroutine(
            *this->state->context, [this, number = number, all = std::move(all)](wire::yield_context yield) {
                for (std::size_t begin = 0; begin < all.size(); begin += records_per_datagram) {
                    const auto first = all.begin() + static_cast<std::ptrdiff_t>(begin);
                    const auto count = std::min(records_per_datagram, all.size() - begin);
                    const bool is_written =
                        this->write_to(number, {first, first + static_cast<std::ptrdiff_t>(count)}, yield);
                    this->state->metrics->count(is_written ? "streams_recorded_later_total"
                                                           : "streams_not_journalled_total",
                                                static_cast<std::uint64_t>(count));
                }
            });
}

std::optional<host::journal_findings> stream_journal_exchange::find(const host::stream_keys& keys,
                                                                    wire::yield_context yield) {
    const host::journal_record sought{.keys = keys, .origin = {}};
    const std::uint32_t partition = host::journal_partition_of(keys);
    const auto find_elsewhere = [&]() -> std::optional<host::journal_findings> {
        const auto answer =
            this->ask({.kind = message_kind::question, .records = {sought}}, partition, yield);
        return answer && answer->kind == message_kind::findings ? answer->findings : std::nullopt;
    };
    const auto find_here = [&] { return this->partitions[partition]->find(keys, yield); };
    if (this->first_other_host(partition).is_before_own) {
        auto findings = find_elsewhere();
        return findings ? findings : find_here();
    }
    auto findings = find_here();
    return findings ? findings : find_elsewhere();
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
        const host::stream_keys& keys = asked.records.front().keys;
        journal_partition& partition = *this->partitions[host::journal_partition_of(keys)];
        if (asked.kind == message_kind::record) {
            if (partition.write(asked.records, yield))
                reply.kind = message_kind::written;
        } else if (auto findings = partition.find(keys, yield)) {
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
