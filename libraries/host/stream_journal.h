// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/stream_origins.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Records of streams whose origin can't be derived, kept in the platform's store so that they outlast all
/// hosts. Records are written in batches to the partition of the stream's content.
namespace postpaddle::host {

/// Partitions of the journal, each appended to by one host at most times. A constant of the format: hosts
/// must agree on the partition of a stream.
inline constexpr std::uint32_t journal_partitions = 8;

/// What began a stream, by the id of the attempt that brought its first event and by its content.
struct journal_record {
    stream_keys keys;
    stream_origin origin;
    /// Number of earlier records of the same attempt, which had chosen another upstream before any event.
    std::uint32_t revision = 0;
    std::chrono::milliseconds lifetime{}; ///< For how long the stream may be resumed.

    auto operator<=>(const journal_record&) const = default;
};

[[nodiscard]] std::uint32_t journal_partition_of(const stream_keys& keys);

/// Encodes as MessagePack.
[[nodiscard]] std::string encode_journal_batch(const std::vector<journal_record>& records);

/// Returns nothing if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<journal_record>> decode_journal_batch(std::string_view bytes);

/// What the journal has of a stream.
struct journal_findings {
    std::optional<stream_origin> by_id; ///< Of the attempt, if its caller names it and it is recorded.
    std::set<stream_origin> by_content; ///< Of all recorded streams with the same content.

    auto operator<=>(const journal_findings&) const = default;
};

/// The journal's records that this host has read or written.
class journal_index {
public:
    /// Keeps the record until its lifetime from now on is over: its age isn't known, so it is kept too long.
    void add(const journal_record& record, base::time_point now);
    [[nodiscard]] journal_findings find(const stream_keys& keys, base::time_point now) const;
    void remove_expired(base::time_point now);
    [[nodiscard]] std::size_t size() const { return this->by_content.size(); }

private:
    struct id_entry {
        stream_origin origin;
        std::uint32_t revision = 0;
        base::time_point expires{};
    };

    std::map<stream_key, id_entry> by_id;
    std::map<stream_key, std::map<stream_origin, base::time_point>> by_content; ///< When each expires.
};

} // namespace postpaddle::host
