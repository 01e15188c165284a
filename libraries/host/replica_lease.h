// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <host/peer_directory.h>
#include <host/store_leadership.h>

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Lease on a host's replica of a topic of the store.
///
/// A host uses its replica only while it can show that it knows every record the store had within the bound.
/// Well before the lease runs out it asks other hosts for what is new, which costs one round trip and no call
/// to the store. Only if the store answers nobody that it can ask does it go on without: then no record can
/// have been accepted that another host could know.
namespace postpaddle::host {

struct replica_lease_options {
    std::chrono::milliseconds bound{}; ///< Maximum time until a record must be known.
    /// Time from the last look at the lease until what was decided on it has arrived at its target.
    std::chrono::milliseconds use_time{};
};

/// What other hosts answered since this host's replica became old.
struct replica_doubt {
    std::set<std::string> asked;                          ///< Their addresses.
    std::map<base::host_id, base::time_point> unanswered; ///< Hosts that the store does not answer either.
    /// Hosts, this one included, that the store answers without telling them all that it has: it is there,
    /// and may have accepted records that nobody knows.
    std::map<base::host_id, base::time_point> uninformed;
    base::time_point asked_at{}; ///< When hosts were last asked.
};

enum class lease_state {
    held,
    lapsed,       ///< Another host may know newer records; the replica must not be used.
    store_outage, ///< The store answers nobody; the replica is as new as any.
};

/// Name of a lease's state in logs and dumps.
[[nodiscard]] const char* to_text(lease_state state);

struct lease_facts {
    base::time_point known_until{};   ///< All records that the store had at this time are known here.
    bool is_own_read_failing = false; ///< The last own read that ended didn't prove that the store is there.
    std::size_t other_hosts = 0;      ///< That may be alive.
    base::time_point now{};
};

[[nodiscard]] lease_state state_of(const replica_lease_options& options, const replica_doubt& doubt,
                                   const lease_facts& facts);

/// When the lease runs out, unless it is renewed.
[[nodiscard]] base::time_point lease_end(const replica_lease_options& options, base::time_point known_until);

/// Age from which a host asks others for what is new. Above the age that a replica has in normal operation.
[[nodiscard]] base::duration age_to_ask(const cell_position& position, std::chrono::milliseconds bound);

/// Age from which a host asks hosts whose updates it can't date for their clock. Below it, the updates that
/// all hosts send as they start would cause as many questions.
[[nodiscard]] base::duration age_to_ask_clocks(std::chrono::milliseconds bound);

/// Interval between two questions while the replica is old.
[[nodiscard]] base::duration ask_interval(std::chrono::milliseconds bound);

/// Other hosts to ask next: addresses of hosts drawn from all cells that were not asked since the doubt
/// began, or if there are none left, any.
[[nodiscard]] std::vector<std::string> hosts_to_ask(const replica_doubt& doubt,
                                                    const peer_directory& directory, base::time_point now,
                                                    std::mt19937_64& random);

/// Call when the replica is recent again.
void end_doubt(replica_doubt& doubt);

/// How another host, whose own replica is old as well, answered a question.
struct doubt_answer {
    base::host_id host;
    bool is_read_failing = false; ///< Its last own read didn't prove that the store is there.
    bool is_uninformed = false;   ///< The store answers it, without telling it all that it has.
    base::time_point received{};
};

void record_answer(replica_doubt& doubt, const doubt_answer& answer);

/// Records that the store answered a read of this host without telling all that it has.
void record_uninformed(replica_doubt& doubt, const base::host_id& own, base::time_point now);

/// Whether that was so within the bound.
[[nodiscard]] bool is_uninformed(const replica_lease_options& options, const replica_doubt& doubt,
                                 const base::host_id& own, base::time_point now);

} // namespace postpaddle::host
