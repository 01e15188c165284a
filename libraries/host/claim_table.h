// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace postpaddle::host {

/// Final state of a claimed request, as far as it is known.
enum class claim_outcome {
    unknown,   ///< Not reported: the request may have run or still be running.
    succeeded, ///< A complete response was sent to the caller.
    failed,    ///< The request ran and failed.
    not_run,   ///< Nothing was executed: the key may be claimed again.
};

/// A request's bid to be the one that is executed for its idempotency key.
struct claim {
    std::uint64_t key = 0;  ///< Hash of organisation and idempotency key.
    std::uint64_t body = 0; ///< Hash of path and body; a key reused with another body is refused.
    std::string request;    ///< Request id of the claimant.

    bool operator==(const claim&) const = default;
};

/// Reported outcome of a claimed request.
struct claim_end {
    std::uint64_t key = 0;
    std::string request;
    claim_outcome outcome = claim_outcome::unknown;

    bool operator==(const claim_end&) const = default;
};

/// One record of a claims stream: a batch of claims and outcomes.
struct claim_batch {
    std::string id;
    std::int64_t wall_milliseconds = 0;
    std::vector<claim> claims;
    std::vector<claim_end> ends;

    bool operator==(const claim_batch&) const = default;
};

/// State of one key according to the log.
struct claim_entry {
    std::uint64_t body = 0;
    std::string request; ///< Request id of the winning claim.
    claim_outcome outcome = claim_outcome::unknown;
    std::int64_t wall_milliseconds = 0;

    bool operator==(const claim_entry&) const = default;
};

/// Result of looking up a claim.
enum class claim_verdict {
    won,           ///< This request is to be executed.
    taken,         ///< Another request won the key; `outcome` is its result.
    body_mismatch, ///< The key was already used with a different body.
    too_old,       ///< The key predates the retained records: it may already have been executed.
    pending,       ///< The claim has not been read back from the log yet.
};

/// Verdict together with the winner's outcome.
struct claim_resolution {
    claim_verdict verdict = claim_verdict::pending;
    claim_outcome outcome = claim_outcome::unknown;
    std::string winner;

    bool operator==(const claim_resolution&) const = default;
};

/// State after applying the records of one claims stream. All hosts that have read up to the same offset
/// agree on every winner.
struct claim_table {
    std::uint64_t next_offset = 1;
    bool is_complete = false; ///< Whether all records that existed when reading began have been applied.
    std::int64_t complete_since = 0; ///< Claims older than this may be missing; 0 if none are.
    std::unordered_map<std::uint64_t, claim_entry> entries;
    std::uint64_t malformed_records = 0;
};

/// Serializes a batch to JSON.
[[nodiscard]] std::string encode_batch(const claim_batch& batch);
/// Parses a batch from JSON; empty if malformed.
[[nodiscard]] std::optional<claim_batch> decode_batch(const std::string& payload);

/// Records that the log no longer holds records below `earliest`. `first_wall_milliseconds` is the time of
/// the first remaining record.
void did_trim(claim_table& table, std::uint64_t earliest, std::int64_t first_wall_milliseconds);

/// Applies the record at `offset`. Offsets that were already applied are ignored.
void apply_claims(claim_table& table, std::uint64_t offset, const std::string& payload);

/// Looks up a claim whose key was created at `key_milliseconds`.
[[nodiscard]] claim_resolution resolve_claim(const claim_table& table, const claim& wanted,
                                             std::int64_t key_milliseconds);

/// Evicts entries older than `wall_milliseconds` and raises `complete_since` if there were any.
void evict_before(claim_table& table, std::int64_t wall_milliseconds);

[[nodiscard]] const char* to_text(claim_outcome outcome);

} // namespace postpaddle::host
