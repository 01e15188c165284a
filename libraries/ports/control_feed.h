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

/// Why the store gave no answer.
enum class feed_failure {
    unreachable,  ///< No connection, silence, or a broken answer.
    turned_away,  ///< The store answers that it is busy or down.
    history_lost, ///< The records asked for are gone: read the newest of each key.
    malformed,    ///< Not the protocol, or a document that can't be read.
    outrun,       ///< Another record came first: nothing was written.
};

/// A failure with detail for logs.
struct feed_error {
    feed_failure failure = feed_failure::unreachable;
    std::string detail;
    std::size_t arrived_bytes = 0; ///< Of an answer that was given up before its end.

    bool operator==(const feed_error&) const = default;
};

template <class T> using feed_result = tl::expected<T, feed_error>;

/// One accepted version of the routing settings, and the text that hosts hand each other.
struct settings_document {
    std::string text;
    std::shared_ptr<const settings::routing_settings> value;
};

/// A record of the operator that can't be read as settings.
struct unreadable_settings {
    std::uint64_t offset = 0;
    std::string reason;

    bool operator==(const unreadable_settings&) const = default;
};

/// Part of the operator's feed.
struct settings_page {
    std::optional<settings_document> newest;     ///< None: nothing about settings among the records.
    std::vector<unreadable_settings> unreadable; ///< Passed over: what is in force stays.
    std::uint64_t next = 0;                      ///< Offset to read from next.
    decision::zone_record_page zones{};          ///< What the operator says of availability zones.
};

/// Part of the registry's feed.
struct registry_page {
    std::vector<decision::registry_change> changes;
    std::vector<base::upstream_id>
        unreadable; ///< Their records name no upstream; what was known before holds.
    std::uint64_t next = 0;
};

/// A host's own entry among the hosts.
struct host_entry {
    base::host_id name;
    std::string address;
    base::zone_id availability_zone;

    bool operator==(const host_entry&) const = default;
};

/// Who last took a lease. The token rises with each taking, whoever takes it.
struct lease_record {
    std::string holder;
    std::uint64_t token = 0;

    bool operator==(const lease_record&) const = default;
};

/// A lease as the store has it.
struct lease_page {
    std::optional<lease_record> newest;
    std::uint64_t end = 0; ///< Where the next record about any lease goes.
};

/// A short text that hosts leave for each other under a key; without one the key was dropped.
struct note {
    std::string key;
    std::optional<std::string> text;

    bool operator==(const note&) const = default;
};

/// Notes as the store has them.
struct note_page {
    std::vector<note> notes;
    std::uint64_t next = 0; ///< Offset to read from next.
};

/// How long the answer to a read is waited for.
struct read_patience {
    std::chrono::milliseconds wait{};  ///< The store may hold the answer back until a record comes.
    std::chrono::milliseconds limit{}; ///< On top until the answer begins, then between any two parts of it.
    std::function<void()> on_part = [] {}; ///< Called when a part of the answer has arrived.
};

/// The platform's store, as the product needs it. All calls are made from coroutines of one thread; `limit`
/// is how long an answer is waited for, and then each further part of it.
class control_feed {
public:
    control_feed() = default;
    control_feed(const control_feed&) = delete;
    control_feed(control_feed&&) = delete;
    control_feed& operator=(const control_feed&) = delete;
    control_feed& operator=(control_feed&&) = delete;
    virtual ~control_feed() = default;

    /// Newest settings.
    [[nodiscard]] virtual feed_result<settings_page> newest_settings(const read_patience& patience,
                                                                     wire::yield_context yield) = 0;
    /// Settings recorded from an offset on; may wait for the first.
    [[nodiscard]] virtual feed_result<settings_page>
    settings_after(std::uint64_t offset, const read_patience& patience, wire::yield_context yield) = 0;
    /// All upstreams that the registry names.
    [[nodiscard]] virtual feed_result<registry_page> newest_registry(const read_patience& patience,
                                                                     wire::yield_context yield) = 0;
    /// Changes of the registry from an offset on; may wait for the first.
    [[nodiscard]] virtual feed_result<registry_page>
    registry_after(std::uint64_t offset, const read_patience& patience, wire::yield_context yield) = 0;
    /// Records this host among the hosts.
    [[nodiscard]] virtual feed_result<void> announce(const host_entry& own, std::chrono::milliseconds limit,
                                                     wire::yield_context yield) = 0;
    /// All hosts on record.
    [[nodiscard]] virtual feed_result<std::vector<host_entry>> hosts(std::chrono::milliseconds limit,
                                                                     wire::yield_context yield) = 0;
    /// Who last took the lease on a resource.
    [[nodiscard]] virtual feed_result<lease_page>
    read_lease(const std::string& resource, std::chrono::milliseconds limit, wire::yield_context yield) = 0;
    /// Takes a lease, provided that no record has come since it was read; gives the fencing token. Without an
    /// answer it may have been taken all the same, also later.
    [[nodiscard]] virtual feed_result<std::uint64_t> take_lease(const std::string& resource,
                                                                const std::string& holder, std::uint64_t end,
                                                                std::chrono::milliseconds limit,
                                                                wire::yield_context yield) = 0;
    /// Leaves a note on a request under which upstreams end, or drops it. It outlives all hosts.
    [[nodiscard]] virtual feed_result<void>
    leave_quarantine_note(const note& left, std::chrono::milliseconds limit, wire::yield_context yield) = 0;
    /// All such notes.
    [[nodiscard]] virtual feed_result<note_page> newest_quarantine_notes(const read_patience& patience,
                                                                         wire::yield_context yield) = 0;
    /// Those left from an offset on; may wait for the first.
    [[nodiscard]] virtual feed_result<note_page> quarantine_notes_after(std::uint64_t offset,
                                                                        const read_patience& patience,
                                                                        wire::yield_context yield) = 0;
    /// Reads a settings text that another host handed over.
    [[nodiscard]] virtual feed_result<settings_document> read_document(const std::string& text) const = 0;
};

/// Word for a failure, as in logs.
[[nodiscard]] const char* to_text(feed_failure failure);

} // namespace postpaddle::ports
