// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/stream_origin/log_replica.h>
#include <host/stream_journal.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::gateway {

/// One partition of the stream journal, as this host reads and writes it.
///
/// Records that come while a write is in progress are written together by the next. Batches are deleted once
/// none of their streams can be resumed any more.
class journal_partition {
public:
    journal_partition(gateway_state& state, ports::control_feed& feed, std::uint32_t number);

    /// Writes the records; returns whether the store has them.
    [[nodiscard]] bool write(const std::vector<host::journal_record>& records, wire::yield_context yield);
    /// What the partition has of the stream, complete as of the call; nothing if the store doesn't answer.
    [[nodiscard]] std::optional<host::journal_findings> find(const host::stream_keys& keys,
                                                             wire::yield_context yield);
    /// Deletes what has expired, if there is any. Call now and then.
    void remove_expired();

private:
    /// Records that are written together, and who waits for that.
    struct batch {
        explicit batch(wire::asio::io_context& context) : done(context, base::time_point::max()) {}

        std::vector<host::journal_record> records;
        std::optional<bool> is_written;
        wire::boot_timer done; ///< Cancelled when `is_written` is known.
    };

    void write_next();
    void write_batch(const std::shared_ptr<batch>& next, wire::yield_context yield);
    /// Reads the log; returns whether the store has the batch.
    [[nodiscard]] bool has_batch(const std::string& key, wire::yield_context yield);
    void apply(const ports::journal_page& page);
    void record_batch(const std::string& key, const std::vector<host::journal_record>& records);
    /// Takes up to some of the batches that have expired, as deletions.
    [[nodiscard]] std::vector<ports::journal_batch> take_expired();

    gateway_state* state;
    ports::control_feed* feed;
    std::uint32_t number;
    host::journal_index index;
    std::map<std::string, base::time_point> expiry_of_batch; ///< By key; of the batches in the store.
    std::deque<std::shared_ptr<batch>> waiting;              ///< Not being written yet, oldest first.
    bool is_writing = false;
    base::time_point written_at{};
    log_replica<ports::journal_page> log;
};

} // namespace postpaddle::gateway
