// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// How new streams of a service are divided among its software versions, so that a host that knows nothing of
/// a stream can tell what began it.
///
/// The version is derived from the request's content, which its caller brings again with each attempt, and
/// from the splits, which outlast all hosts. Two requests with the same content are therefore assigned alike.
namespace postpaddle::decision {

/// Weights of the software versions; a version's share of the streams is its weight over their sum.
struct traffic_split {
    std::map<std::string, std::uint32_t> weights;

    auto operator<=>(const traffic_split&) const = default;
};

/// The splits under which streams that may still be resumed can have begun.
struct split_history {
    std::vector<traffic_split> splits; ///< Oldest first; streams begin under the last one.
    std::uint64_t first_number = 0;    ///< Number of the oldest one; each next one has the next number.

    auto operator<=>(const split_history&) const = default;
};

/// All versions of the split, the one that the key is assigned to first. A change of one weight moves only
/// keys from or to that version.
/// Source: weighted rendezvous hashing, Schindelhauer and Schomaker, "Weighted Distributed Hash Tables"
/// (2005).
[[nodiscard]] std::vector<std::string> versions_by_preference(const traffic_split& split, std::uint64_t key);

/// The versions that a stream with that key can have begun at if it began as assigned. One under each split.
[[nodiscard]] std::set<std::string> assigned_versions(const split_history& history, std::uint64_t key);

/// Whether a stream with that key that begins at the version needs no record: it is what the key has been
/// assigned to under each split.
[[nodiscard]] bool is_derivable(const split_history& history, std::uint64_t key, const std::string& version);

/// All versions that the history names.
[[nodiscard]] std::set<std::string> versions_in(const split_history& history);

/// Whether streams can have begun at more than one version.
[[nodiscard]] bool has_several_versions(const split_history& history);

/// The split that should follow `newest` when the versions' upstreams have this capacity now; nothing if
/// `newest` still fits. Versions without capacity get no share.
[[nodiscard]] std::optional<traffic_split> next_split(const std::optional<traffic_split>& newest,
                                                      const std::map<std::string, std::uint32_t>& capacity);

} // namespace postpaddle::decision
