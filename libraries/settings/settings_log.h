// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/settings_tree.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace postpaddle::settings {

/// Offset in the platform's log. Offsets start at 1; 0 stands for "before the first record".
using log_offset = std::uint64_t;

/// What a settings record asks for.
enum class record_kind {
    replace,  ///< The whole document anew.
    assign,   ///< One path of the document.
    snapshot, ///< What was in force at a revision, appended again before retention ends.
};

/// An operators' change, or a snapshot, as it stands in the log.
struct settings_record {
    record_kind kind = record_kind::replace;
    std::string change_id;
    std::string author;
    log_offset base_revision = 0; ///< Revision the operator saw.
    std::string document;         ///< YAML of `replace`; the encoded state of `snapshot`.
    std::string path;             ///< Path of `assign`, segments joined by `/`.
    std::string value;            ///< YAML of `assign`.

    bool operator==(const settings_record&) const = default;
};

/// How a change ended; decided by its offset, so the same on every host.
struct change_verdict {
    std::string change_id;
    log_offset offset = 0;
    bool is_accepted = false;
    std::string reason;
    std::string author;

    bool operator==(const change_verdict&) const = default;
};

/// Whether a state may judge changes.
enum class fold_phase {
    needs_base, ///< Records are missing below `next_offset`: only a snapshot can be taken.
    judging,    ///< All records below `next_offset` were folded.
};

/// The settings after all records below `next_offset`. Judging hosts at one offset hold equal states.
struct settings_state {
    fold_phase phase = fold_phase::needs_base;
    log_offset first_kept = 1; ///< Earliest offset the log still had when records went missing.
    log_offset next_offset = 1;
    log_offset revision = 0; ///< Offset of the change in force; 0 where none is.
    std::string document;
    std::shared_ptr<const settings_tree> tree;
    std::deque<change_verdict> verdicts; ///< The latest, oldest first.
    std::uint64_t malformed_records = 0;
};

/// Largest record that is looked at, in bytes; larger ones are skipped on every host alike.
inline constexpr std::size_t largest_record = 1024UL * 1024;
/// Largest document in force, in bytes, so that a snapshot of it always fits a record.
inline constexpr std::size_t largest_document = 512UL * 1024;

/// JSON text of a record for the log.
[[nodiscard]] std::string encode_record(const settings_record& record);

/// Notices where the log begins. A state whose next record is gone stops judging until it has a base;
/// what it had in force stays in force.
void did_see_earliest(settings_state& state, log_offset earliest);

/// Applies the record at `offset` of the settings stream. Offsets below `next_offset` change nothing.
void apply_record(settings_state& state, log_offset offset, const std::string& payload);

/// Takes a record of the snapshots stream. Only a state that needs a base may take it; `next_offset` then
/// is where that snapshot was taken, so the reader goes on from there. Says whether it was taken.
bool apply_snapshot(settings_state& state, const std::string& payload);

/// Takes a peer's whole state when it is ahead of ours; says whether it did. Never goes back.
bool adopt_state(settings_state& state, settings_state from_peer);

/// The verdict on a change, or null while it has not been read.
[[nodiscard]] const change_verdict* verdict_of(const settings_state& state, const std::string& change_id);

/// Snapshot record of what is in force.
[[nodiscard]] settings_record snapshot_of(const settings_state& state);

/// Whole state as JSON, for a peer that starts while the log is down or was cut off past retention.
[[nodiscard]] std::string encode_state(const settings_state& state);

/// State from a peer's JSON; the error says what was wrong with it.
[[nodiscard]] tl::expected<settings_state, std::string> decode_state(const std::string& text);

} // namespace postpaddle::settings
