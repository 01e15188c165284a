// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// What began each recent stream, so that it is only continued by the same.
namespace postpaddle::host {

/// The service and the software version of the upstream that a stream's first event came from.
struct stream_origin {
    std::string service;
    std::string software_version;

    auto operator<=>(const stream_origin&) const = default;
};

/// Identifies a stream on all hosts. Callers of one organisation can't make a key of another's stream.
struct stream_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const stream_key&) const = default;
};

/// The key as a single number, by which hosts, partitions and versions are chosen.
[[nodiscard]] constexpr std::uint64_t number_of(const stream_key& key) { return key.high ^ key.low; }

/// The keys under which a stream is recorded and sought.
struct stream_keys {
    stream_key by_id; ///< Of the attempt that brought the first event; zero if the caller doesn't name it.
    stream_key by_content; ///< Of the request, which is the same in all attempts of most callers.

    auto operator<=>(const stream_keys&) const = default;
};

/// The parts of the request that brought a stream's first event.
struct stream_key_parts {
    base::organisation_id organisation; ///< Owner of the caller's key; empty if callers need none.
    std::string_view host;              ///< Host named in the request.
    std::string_view request_id;        ///< Chosen by the caller for that attempt.
};

[[nodiscard]] stream_key key_of_stream(const stream_key_parts& parts);

/// Records of streams that may still be resumed: those of this host and those that other hosts told it.
/// Bounded: beyond `max_records` the oldest record is dropped.
class stream_origins {
public:
    static constexpr std::size_t max_records = 131'072;

    /// Records what began a stream until `expires`. A stream with two different origins, whose caller has
    /// used an id twice, becomes an unknown one.
    void record(const stream_key& key, const stream_origin& origin, base::time_point expires);
    /// Records it under the attempt's id. The content is no key here: another stream with the same content
    /// may have begun elsewhere, which this host need not know.
    void record(const stream_keys& keys, const stream_origin& origin, base::time_point expires);
    /// Returns nothing for an unknown or expired stream.
    [[nodiscard]] std::optional<stream_origin> find(const stream_key& key, base::time_point now) const;
    /// By the attempt's id; nothing if the caller doesn't name it.
    [[nodiscard]] std::optional<stream_origin> find(const stream_keys& keys, base::time_point now) const;
    void remove_expired(base::time_point now);
    [[nodiscard]] std::size_t size() const { return this->records.size(); }

private:
    struct entry {
        const stream_origin* origin = nullptr; ///< In `known`.
        base::time_point expires{};
    };

    std::map<stream_key, entry> records;
    std::deque<stream_key> in_order; ///< Of the records, oldest first.
    std::set<stream_origin> known;   ///< Few: the services' versions.
};

} // namespace postpaddle::host
