// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/cell.h>
#include <host/clock_bounds.h>
#include <host/replica_lease.h>
#include <host/store_leadership.h>
#include <host/store_reader.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace postpaddle::test {

using std::chrono::milliseconds;

/// What is wrong with a host for a while.
enum class host_fault {
    killed,      ///< Does nothing, and starts anew afterwards.
    frozen,      ///< Does nothing; what arrives waits.
    slow,        ///< Processes messages twenty times slower.
    cut_off,     ///< Exchanges nothing with the store or other hosts.
    turned_away, ///< The store does not answer it.
    unknown,     ///< Other hosts send it no updates, as they do not know it.
};

struct fault_span {
    std::size_t host = 0;
    host_fault kind = host_fault::killed;
    milliseconds begin{};
    milliseconds end{};
};

struct time_span {
    milliseconds begin{};
    milliseconds end{};
};

/// Hosts of a deployment with their links and faults.
struct replica_plan {
    std::size_t hosts = 300;
    std::size_t cell_size = 50;
    milliseconds length{30'000};
    milliseconds bound{5'000};
    bool asks_others = true;     ///< Whether hosts ask others for what is new.
    bool has_lease = true;       ///< Whether hosts send only while their lease allows it.
    milliseconds min_answer{10}; ///< Time of the store for an answer, at least and at most.
    milliseconds max_answer{50};
    double refused = 0;         ///< Fraction of the reads that the store refuses.
    double unanswered = 0;      ///< Fraction of the reads that it does not answer.
    double loss = 0;            ///< Fraction of the datagrams that are lost.
    int changes_per_record = 1; ///< Changes of the registry at each of its writes.
    double link_bytes_per_second = 2'500'000;
    /// Processing time of a message on a whole core, divided by the host's share.
    double message_seconds = 0.000'1;
    double processor_share = 0.12;
    std::vector<fault_span> faults{};
    std::vector<time_span> outages{}; ///< In which the store accepts and answers nothing.
};

struct replica_result {
    int sends = 0;
    int late_sends = 0;    ///< That arrived while a record older than the bound was not known.
    int refusals = 0;      ///< Requests that were not sent, as the lease had lapsed.
    milliseconds oldest{}; ///< Greatest age of a record that was not known at an arrival.
    int store_reads = 0;
    double bytes_per_host_second = 0; ///< Sent to other hosts.
};

/// Runs the plan with the decisions of the real hosts, without I/O.
[[nodiscard]] replica_result run_replicas(const replica_plan& plan, std::uint64_t seed);

} // namespace postpaddle::test
