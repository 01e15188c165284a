// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/zone_evacuations.h>
#include <host/clock_bounds.h>
#include <host/store_outage.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::gateway {

/// What a host knows of one topic of the store.
struct topic_update {
    std::uint64_t next = 0;   ///< Offset after the newest record that it knows.
    base::time_point until{}; ///< The store had no newer record at this time; the clock's origin if unknown.

    bool operator==(const topic_update&) const = default;
};

/// What a host knows of the store: sent by the leaders of a cell to its followers, and to any host that asks.
struct store_update {
    base::host_id host;
    host::send_stamp stamp; ///< Time of sending, to which the encoded ages refer.
    /// In an answer: the time of the question by the clock of the host that asked.
    std::optional<std::chrono::milliseconds> in_reply_to{};
    std::uint64_t settings_version = 0;
    topic_update settings;
    topic_update registry;
    bool is_read_failing =
        false; ///< The sender's last own read of the registry didn't prove the store there.
    bool is_store_absent = false; ///< See `host::is_absence_told`.
    bool is_uninformed = false;   ///< The store answers the sender without telling it all that it has.
    host::served_span served{};   ///< In which the store was there to some host, as far as the sender knows.
    std::uint64_t changes_since = 0;                       ///< Offset from which `changes` is complete.
    std::vector<decision::registry_change> changes;        ///< Latest changes of the registry.
    decision::zone_record_page zones{.is_complete = true}; ///< Known evacuations of availability zones.

    bool operator==(const store_update&) const = default;
};

[[nodiscard]] std::string encode_store_update(const store_update& update, base::time_point now);
/// Returns nothing if the message is malformed. Ages are subtracted from `now`, without transit time. Changes
/// are left out if none is at or after `known_next`: most updates repeat what the receiver knows, and
/// decoding the changes is most of their cost.
[[nodiscard]] std::optional<store_update> decode_store_update(std::string_view bytes, base::time_point now,
                                                              std::uint64_t known_next = 0);

/// Asks a host what it knows of the store.
struct store_query {
    base::host_id host;
    std::string address;              ///< Heartbeat address of the host that asks.
    std::chrono::milliseconds sent{}; ///< By its monotonic clock.
    std::uint64_t registry_next = 0;  ///< Offset after the newest registry record that it knows.
    bool is_store_absent = false;     ///< See `host::is_absence_told`.

    bool operator==(const store_query&) const = default;
};

[[nodiscard]] std::string encode_store_query(const store_query& query);
/// Returns nothing if the message is malformed.
[[nodiscard]] std::optional<store_query> decode_store_query(std::string_view bytes);

} // namespace postpaddle::gateway
