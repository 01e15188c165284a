// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/zone_evacuations.h>
#include <settings/routing_settings.h>
#include <wire/asio.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace postpaddle::ports {

/// Why a store operation failed.
enum class feed_failure {
    unreachable,  ///< Connection failure, or no response in time.
    cut,          ///< The response began and did not arrive whole. A write may have taken effect.
    unavailable,  ///< The store reports that it can't serve this host now (5xx).
    rejected,     ///< The store refuses the call for what it says or for its rate (4xx).
    history_lost, ///< The requested records have been compacted; read the latest record of each key instead.
    malformed,    ///< Protocol violation or unparsable document.
    conflict,     ///< Conditional write lost to a concurrent record; nothing was written.
};

/// A failed store operation, with detail for logs.
struct feed_error {
    feed_failure failure = feed_failure::unreachable;
    std::string detail;
    std::size_t arrived_bytes = 0; ///< Bytes received before the response was abandoned.
    std::uint64_t first_kept = 0;  ///< With `history_lost`: offset of the oldest record that is left.

    bool operator==(const feed_error&) const = default;
};

template <class T> using feed_result = tl::expected<T, feed_error>;

/// A valid version of the routing settings, with the source text that hosts exchange.
struct settings_document {
    std::string text;
    std::shared_ptr<const settings::routing_settings> value;
};

/// A settings record that failed to parse or validate.
struct unreadable_settings {
    std::uint64_t offset = 0;
    std::string reason;

    bool operator==(const unreadable_settings&) const = default;
};

/// Result of reading the operators' topic.
struct settings_page {
    std::optional<settings_document> newest;     ///< Empty if the page contains no valid settings.
    std::vector<unreadable_settings> unreadable; ///< Skipped; the current settings remain in force.
    std::uint64_t next = 0;                      ///< Offset to read from next.
    bool has_more = false;                       ///< The store had further records, which this page lacks.
    decision::zone_record_page zones{};          ///< Records about availability zones.
};

/// Result of reading the registry topic.
struct registry_page {
    std::vector<decision::registry_change> changes;
    std::vector<base::upstream_id>
        unreadable;         ///< Upstreams with invalid records; their previous entries remain valid.
    std::uint64_t next = 0; ///< Offset to read from next.
    bool has_more = false;  ///< The store had further records, which this page lacks.
};

/// A host's entry in the host registry.
struct host_entry {
    base::host_id name;
    std::string address;
    base::zone_id availability_zone;

    bool operator==(const host_entry&) const = default;
};

/// Last acquisition of a lease. The fencing token increases with every acquisition.
struct lease_record {
    std::string holder;
    std::uint64_t token = 0;

    bool operator==(const lease_record&) const = default;
};

/// Result of reading a lease.
struct lease_page {
    std::optional<lease_record> newest;
    std::uint64_t end = 0; ///< End offset of the lease topic, for a conditional write.
};

/// A short keyed text that hosts share through the store; an empty `text` marks the key as deleted.
struct quarantine_note {
    std::string key;
    std::optional<std::string> text;

    bool operator==(const quarantine_note&) const = default;
};

/// Result of reading notes.
struct quarantine_note_page {
    std::vector<quarantine_note> notes;
    std::uint64_t next = 0; ///< Offset to read from next.
};

/// Durable text about one service, which hosts share through the store.
struct service_note {
    std::string service;
    std::optional<std::string> text; ///< Empty if the note was deleted.

    bool operator==(const service_note&) const = default;
};

/// Result of reading the notes on services.
struct service_note_page {
    std::vector<service_note> notes;
    std::uint64_t next = 0; ///< Offset to read from next, and for a conditional write.
    bool has_more = false;  ///< The store had further notes, which this page lacks.
};

/// A batch of records of the stream journal; an empty `bytes` marks the batch as deleted.
struct journal_batch {
    std::string key;
    std::optional<std::string> bytes;

    bool operator==(const journal_batch&) const = default;
};

/// Result of reading a partition of the stream journal.
struct journal_page {
    std::vector<journal_batch> batches;
    std::uint64_t next = 0; ///< Offset to read from next.
    bool has_more = false;  ///< The store had further batches, which this page lacks.
};

/// Timeouts and progress callback of a read.
struct read_timeouts {
    std::chrono::milliseconds wait{};      ///< Long-poll time for which the store may wait for a new record.
    std::chrono::milliseconds limit{};     ///< Timeout beyond `wait` for the first byte, then between chunks.
    std::function<void()> on_part = [] {}; ///< Called after each received chunk.
};

/// Interface to the platform's store. All calls are made from coroutines of one thread. `limit` is the
/// timeout for the start of the response and for each subsequent chunk.
class control_feed {
public:
    control_feed() = default;
    control_feed(const control_feed&) = delete;
    control_feed(control_feed&&) = delete;
    control_feed& operator=(const control_feed&) = delete;
    control_feed& operator=(control_feed&&) = delete;
    virtual ~control_feed() = default;

    /// Reads the latest settings.
    [[nodiscard]] virtual feed_result<settings_page> newest_settings(const read_timeouts& timeouts,
                                                                     wire::yield_context yield) = 0;
    /// Reads settings records from `offset` onwards; may long-poll for the first.
    [[nodiscard]] virtual feed_result<settings_page>
    settings_after(std::uint64_t offset, const read_timeouts& timeouts, wire::yield_context yield) = 0;
    /// Reads all registered upstreams.
    [[nodiscard]] virtual feed_result<registry_page> newest_registry(const read_timeouts& timeouts,
                                                                     wire::yield_context yield) = 0;
    /// Reads registry changes from `offset` onwards; may long-poll for the first.
    [[nodiscard]] virtual feed_result<registry_page>
    registry_after(std::uint64_t offset, const read_timeouts& timeouts, wire::yield_context yield) = 0;
    /// Writes this host's entry to the host registry.
    [[nodiscard]] virtual feed_result<void> announce(const host_entry& own, std::chrono::milliseconds limit,
                                                     wire::yield_context yield) = 0;
    /// Reads all entries of the host registry.
    [[nodiscard]] virtual feed_result<std::vector<host_entry>> hosts(std::chrono::milliseconds limit,
                                                                     wire::yield_context yield) = 0;
    /// Reads the last acquisition of the lease on a resource.
    [[nodiscard]] virtual feed_result<lease_page>
    read_lease(const std::string& resource, std::chrono::milliseconds limit, wire::yield_context yield) = 0;
    /// Acquires a lease if no lease record was written since `end` was read, and returns the fencing token.
    /// After a timeout the write may still have succeeded or may yet succeed.
    [[nodiscard]] virtual feed_result<std::uint64_t> take_lease(const std::string& resource,
                                                                const std::string& holder, std::uint64_t end,
                                                                std::chrono::milliseconds limit,
                                                                wire::yield_context yield) = 0;
    /// Writes or deletes the note about a request that is suspected of crashing upstreams. Notes outlive
    /// hosts.
    [[nodiscard]] virtual feed_result<void> write_quarantine_note(const quarantine_note& left,
                                                                  std::chrono::milliseconds limit,
                                                                  wire::yield_context yield) = 0;
    /// Reads all quarantine notes.
    [[nodiscard]] virtual feed_result<quarantine_note_page>
    newest_quarantine_notes(const read_timeouts& timeouts, wire::yield_context yield) = 0;
    /// Reads quarantine notes from `offset` onwards; may long-poll for the first.
    [[nodiscard]] virtual feed_result<quarantine_note_page>
    quarantine_notes_after(std::uint64_t offset, const read_timeouts& timeouts,
                           wire::yield_context yield) = 0;
    /// Reads the newest note on each service. May be behind the log.
    [[nodiscard]] virtual feed_result<service_note_page> newest_service_notes(std::chrono::milliseconds limit,
                                                                              wire::yield_context yield) = 0;
    /// Reads the notes that were written from `offset` onwards.
    [[nodiscard]] virtual feed_result<service_note_page>
    service_notes_after(std::uint64_t offset, std::chrono::milliseconds limit, wire::yield_context yield) = 0;
    /// Writes a note if the topic still ends at `end`.
    [[nodiscard]] virtual feed_result<void> write_service_note(const service_note& note, std::uint64_t end,
                                                               std::chrono::milliseconds limit,
                                                               wire::yield_context yield) = 0;
    /// Writes or deletes these batches in one partition of the stream journal: all or none. Batches outlive
    /// hosts, and stay until they are deleted.
    [[nodiscard]] virtual feed_result<void> append_journal(std::uint32_t partition,
                                                           const std::vector<journal_batch>& batches,
                                                           std::chrono::milliseconds limit,
                                                           wire::yield_context yield) = 0;
    /// Reads all batches of a partition.
    [[nodiscard]] virtual feed_result<journal_page>
    newest_journal(std::uint32_t partition, std::chrono::milliseconds limit, wire::yield_context yield) = 0;
    /// Reads the batches of a partition that were written from `offset` onwards.
    [[nodiscard]] virtual feed_result<journal_page> journal_after(std::uint32_t partition,
                                                                  std::uint64_t offset,
                                                                  std::chrono::milliseconds limit,
                                                                  wire::yield_context yield) = 0;
    /// Parses a settings text received from another host.
    [[nodiscard]] virtual feed_result<settings_document> read_document(const std::string& text) const = 0;
};

/// Whether a write that failed so may have been carried out, or may yet be.
[[nodiscard]] bool may_have_taken_effect(feed_failure failure);

/// Name of a failure as used in logs.
[[nodiscard]] const char* to_text(feed_failure failure);

} // namespace postpaddle::ports
