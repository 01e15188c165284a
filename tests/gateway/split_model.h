// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace postpaddle::test {

using std::chrono::milliseconds;

/// A state of the registry: slots of the listed engines by version. A version with none is known but leaving.
struct registry_step {
    milliseconds at{};
    std::map<std::string, std::uint32_t> slots;
};

/// In which the store answers nothing to some hosts.
struct store_outage {
    milliseconds begin{};
    milliseconds end{};
    std::vector<std::size_t> hosts{}; ///< Empty: all, and the registry doesn't change.
};

struct host_loss {
    milliseconds begin{};
    milliseconds end{}; ///< When they start anew.
    std::vector<std::size_t> hosts{};
};

/// The rules of `request_origin.cpp` and `version_splits.cpp` for beginning a stream without a record. The
/// defaults are the rules of the code; the others are those under which the model finds no wrong origin.
struct begin_rules {
    /// A replica with one split counts as confirmed at any age; else only if that split has one version.
    bool is_single_split_confirmed = false;
    /// Without the store a stream may begin at a version after the first in its key's order.
    bool may_default_to_later_version = false;
    /// Without the store a stream may begin under splits that were read at any time; else only those read
    /// within the retention's margin.
    bool may_default_on_old_splits = true;
    /// Without the store a stream may begin under splits although another host is known to have newer ones.
    bool may_default_on_replaced_splits = false;
    /// A stream may begin without a record although one of another version may have been written.
    bool may_ignore_failed_record = false;
    /// Whether a single version in the history decides before the journal is read.
    bool may_skip_journal = false;
    /// Before the splits have been read a stream may begin at the registry's single version.
    bool may_begin_without_splits = false;
    /// Records are kept for the time limit and a margin; else for as long as splits, which is twice that
    /// limit.
    bool are_records_kept_shorter = false;
    /// A host to which a request is forwarded knows nothing of the records of the one that forwards it.
    bool is_forwarding_blind = false;
};

/// A service's hosts, engines, callers and faults.
struct split_plan {
    std::size_t hosts = 6;
    milliseconds length{100'000};
    milliseconds time_limit{5'000};
    milliseconds registry_bound{3'000};
    int streams_per_second = 30;
    std::vector<registry_step> registry{};
    std::vector<store_outage> outages{};
    std::vector<host_loss> losses{};
    double lost_answers = 0; ///< Fraction of the appends that the store takes without an answer.
    double late_appends = 0; ///< Likewise, that it takes seconds later.
    double returning = 1;    ///< Fraction of the callers that return. A return makes a host read the store.
    std::optional<std::size_t> returning_to{}; ///< The host that callers return to; unset: any.
    double full = 0.1;                         ///< Fraction of the time in which a version has no room.
    double failed_runs = 0;                    ///< Fraction of the runs that fail before any event.
    double forwarded = 0;                      ///< Fraction of these that are then forwarded to another host.
    begin_rules rules{};
};

/// Returns of callers, and how many went on.
struct return_count {
    int returns = 0;
    int gone_on = 0;
};

struct split_result {
    int begun = 0;
    int refused = 0;   ///< Streams that could not begin.
    int derived = 0;   ///< Begun without a record, as derivable.
    int defaulted = 0; ///< Begun without a record, as the store was away.
    return_count named;
    return_count unnamed;
    return_count
        named_after_loss; ///< After a loss of all hosts, with the store reachable and an engine left.
    return_count unnamed_after_loss;
    std::map<std::string, return_count> named_after_loss_by_begin{}; ///< By how the streams began.
    int wrong = 0; ///< Streams that went on at another version than they began.
    std::vector<std::string> wrong_streams{};
};

/// Faults and releases that the seed fixes. `seed % 6` names the mix: releases only, loss of answers, outages
/// of the store, outages for single hosts, failing runs, all.
[[nodiscard]] split_plan make_split_plan(std::uint64_t seed);

/// Runs the plan with the decisions of the real hosts, without I/O.
[[nodiscard]] split_result run_splits(const split_plan& plan, std::uint64_t seed);

} // namespace postpaddle::test
