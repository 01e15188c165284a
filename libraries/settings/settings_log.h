// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/settings_tree.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace postpaddle::settings {

/// Offset in the platform's log. Offsets start at 1; 0 means "before the first record".
using log_offset = std::uint64_t;

/// Kind of a settings record.
enum class record_kind {
    replace,  ///< Replaces the whole document.
    assign,   ///< Sets one path of the document.
    snapshot, ///< State at a revision, appended regularly so that the log always retains one.
};

/// A change by an operator, or a snapshot, as stored in the log.
struct settings_record {
    record_kind kind = record_kind::replace;
    std::string change_id;
    std::string author;
    log_offset base_revision = 0; ///< Revision that the change is based on.
    std::string document;         ///< YAML for `replace`; encoded state for `snapshot`.
    std::string path;             ///< For `assign`; segments are joined by `/`.
    std::string value;            ///< YAML for `assign`.

    bool operator==(const settings_record&) const = default;
};

/// Whether a change was accepted. Determined by the log alone, so it is the same on every host.
struct change_verdict {
    std::string change_id;
    log_offset offset = 0;
    bool is_accepted = false;
    std::string reason;
    std::string author;

    bool operator==(const change_verdict&) const = default;
};

/// Whether a state can evaluate changes.
enum class replay_phase {
    needs_base_state, ///< Records below `next_offset` are missing: needs a snapshot or a peer's state.
    evaluating,       ///< All records below `next_offset` have been applied.
};

/// Settings after all records below `next_offset`. Hosts that evaluate changes and are at the same offset
/// hold equal states.
struct settings_state {
    replay_phase phase = replay_phase::needs_base_state;
    log_offset earliest_offset = 1; ///< Earliest offset in the log when missing records were detected.
    log_offset next_offset = 1;
    log_offset revision = 0; ///< Offset of the change in force; 0 if there is none.
    std::string document;
    std::shared_ptr<const settings_tree> tree;
    std::deque<change_verdict> verdicts; ///< The most recent ones, oldest first.
    std::uint64_t malformed_records = 0;
};

/// Maximum size of a record in bytes. Every host skips larger ones, so that all states stay equal.
inline constexpr std::size_t max_record_bytes = 1024UL * 1024;
/// Maximum size of the document in bytes, chosen so that a snapshot of it fits into a record.
inline constexpr std::size_t max_document_bytes = 512UL * 1024;

/// Serializes a record to JSON.
[[nodiscard]] std::string encode_record(const settings_record& record);

/// Records the earliest offset in the log. If the next record to apply is no longer in the log, the state
/// stops evaluating changes until it gets a base state; its settings stay in force.
void update_earliest_offset(settings_state& state, log_offset earliest);

/// Applies the record at `offset` of the settings stream. Ignores offsets below `next_offset`.
void apply_record(settings_state& state, log_offset offset, const std::string& payload);

/// Restores a state that needs a base from a record of the snapshots stream. Afterwards `next_offset` is the
/// offset at which the snapshot was taken, where reading continues. Returns whether it was restored.
bool apply_snapshot(settings_state& state, const std::string& payload);

/// Replaces the state by a peer's that is ahead, or by any that is not at an earlier revision if this one
/// needs a base. Returns whether it was replaced.
bool adopt_state(settings_state& state, settings_state from_peer);

/// Returns the verdict on a change; null if the change has not been read, or its verdict is no longer stored.
[[nodiscard]] const change_verdict* verdict_of(const settings_state& state, const std::string& change_id);

/// Returns a snapshot record of the state.
[[nodiscard]] settings_record snapshot_of(const settings_state& state);

/// Serializes the state to JSON, for a peer that starts while the log is unavailable, or that was
/// disconnected for longer than the log's retention.
[[nodiscard]] std::string encode_state(const settings_state& state);

/// Parses a peer's state from JSON; the error describes why it is invalid.
[[nodiscard]] tl::expected<settings_state, std::string> decode_state(const std::string& text);

} // namespace postpaddle::settings
