// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>

/// What the ending of a read of the store proves, and about what. Whatever a host concludes about the store
/// itself is concluded from this alone.
namespace postpaddle::host {

enum class read_ending {
    answered,       ///< With what was asked for; an empty page is an answer, too.
    history_lost,   ///< The store says that it no longer has the records.
    rejected,       ///< The store refuses the call for what it says or for its rate (4xx).
    turned_away,    ///< The store says that it can't serve this host now (5xx).
    no_answer,      ///< A read that waits for no record: connection failure, or nothing within its limit.
    lost_wait,      ///< A read that waits for a record: its connection broke or stayed silent.
    cut,            ///< The answer began and did not arrive whole.
    unreadable,     ///< The answer is whole and can't be decoded.
    ended_too_late, ///< This process did not run when the read's limit passed.
};
inline constexpr std::size_t read_endings = static_cast<std::size_t>(read_ending::ended_too_late) + 1;

/// What of the store's state at the end of a read is proven by it.
enum class store_proof {
    present, ///< The store is there.
    absent,  ///< The store did not serve a call that it could have served at once.
    none,    ///< It may have been either.
};

/// What an ending other than an answer may be due to.
enum class read_subject {
    none, ///< Nothing failed.
    store,
    link, ///< Between this host and the store, or a single connection of it.
    host, ///< This process.
};

struct read_evidence {
    store_proof proof{};
    read_subject subject{};

    bool operator==(const read_evidence&) const = default;
};

[[nodiscard]] read_evidence evidence_of(read_ending ending);

/// Name of an ending as used in logs and metrics.
[[nodiscard]] const char* to_text(read_ending ending);

} // namespace postpaddle::host
