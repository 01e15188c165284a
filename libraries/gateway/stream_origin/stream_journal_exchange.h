// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/peers/peer_datagrams.h>
#include <gateway/stream_origin/journal_message.h>
#include <gateway/stream_origin/journal_partition.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace postpaddle::gateway {

/// Writes to and reads from the stream journal, through the host that is in charge of a stream's partition.
///
/// One host for a partition keeps the calls to the store constant, however many hosts there are. It is only
/// an optimisation: where that host doesn't answer, this one calls the store itself.
class stream_journal_exchange {
public:
    stream_journal_exchange(gateway_state& state, ports::control_feed& feed, peer_datagrams& datagrams);

    /// Starts receiving; runs as long as the process.
    void start();
    /// Returns whether the store has the record. Takes up to half a second if it doesn't answer.
    [[nodiscard]] bool write(const host::journal_record& record, wire::yield_context yield);
    /// Writes records of streams that have begun, without waiting for the store.
    void write_later(const std::vector<host::journal_record>& records);
    /// What the journal has of the stream, complete as of the call; nothing if the store doesn't answer.
    [[nodiscard]] std::optional<host::journal_findings> find(const host::stream_keys& keys,
                                                             wire::yield_context yield);

private:
    /// A message to the host in charge, until its answer has come.
    struct pending_message {
        explicit pending_message(wire::asio::io_context& context) : wake(context) {}

        std::optional<journal_message> answer;
        wire::boot_timer wake; ///< Cancelled by the answer.
    };

    [[nodiscard]] bool handle(std::string_view bytes);
    void answer(const journal_message& asked);
    /// Asks the first other host; nothing if it doesn't answer.
    [[nodiscard]] std::optional<journal_message> ask(journal_message message, std::uint32_t partition,
                                                     wire::yield_context yield);
    /// The host, besides this one, that comes first in the order of a partition.
    struct first_host {
        std::string address;        ///< Empty if there is no other host.
        bool is_before_own = false; ///< Whether it is in charge rather than this host.
    };
    [[nodiscard]] const first_host& first_other_host(std::uint32_t partition);
    [[nodiscard]] bool write_to(std::uint32_t partition, const std::vector<host::journal_record>& records,
                                wire::yield_context yield);
    void reply(const base::host_id& host, const journal_message& message);
    void remove_expired(wire::yield_context yield);

    gateway_state* state;
    peer_datagrams* datagrams;
    std::vector<std::unique_ptr<journal_partition>> partitions;
    std::vector<first_host> first_hosts; ///< By partition, see `first_other_host`.
    base::time_point first_hosts_found_at{};
    std::uint64_t last_number = 0; ///< Begins at random, as answers to an earlier process may still come.
    /// By number. Also held by the coroutines that wait.
    std::shared_ptr<std::map<std::uint64_t, pending_message*>> pending =
        std::make_shared<std::map<std::uint64_t, pending_message*>>();
};

} // namespace postpaddle::gateway
