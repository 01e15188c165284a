// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <host/stream_journal.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::gateway {

/// What a datagram about the stream journal says.
enum class journal_message_kind {
    record,      ///< Write these records, all of one partition.
    written,     ///< They are in the store.
    question,    ///< What does the journal have of this stream?
    findings,    ///< This.
    unavailable, ///< The store doesn't answer.
};

/// A datagram about the journal. Answers carry the number of what they answer.
struct journal_message {
    journal_message_kind kind = journal_message_kind::record;
    base::host_id from{};
    std::uint64_t number = 0;
    std::vector<host::journal_record> records{};      ///< Of a record; of a question one, with its keys only.
    std::optional<host::journal_findings> findings{}; ///< Of findings.

    bool operator==(const journal_message&) const = default;
};

/// Encodes as MessagePack.
[[nodiscard]] std::string encode_journal_message(const journal_message& message);

/// Returns nothing if the bytes are malformed.
[[nodiscard]] std::optional<journal_message> decode_journal_message(std::string_view bytes);

} // namespace postpaddle::gateway
