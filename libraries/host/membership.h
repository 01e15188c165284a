// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace postpaddle::host {

/// Liveness of a host as seen by this one.
enum class liveness {
    alive,
    suspect, ///< Missed a probe; may still refute the suspicion.
    failed,  ///< Suspect for too long: other hosts take over its work.
    left,    ///< Left the cluster on its own initiative.
};

/// A host's entry as exchanged between hosts.
///
/// Of two entries, the one with the greater (incarnation, version) is newer. Only the host itself raises
/// these, so it refutes a suspicion by publishing its next version.
struct member {
    base::host_id name;
    std::string peers_address;
    std::string operators_address;
    base::zone_id zone;
    std::uint64_t incarnation = 0; ///< Start of the process, in milliseconds since the Unix epoch.
    std::uint64_t version = 0;
    liveness life = liveness::alive;
    bool is_draining = false;
    std::uint64_t settings_offset = 0; ///< Next offset of the settings stream that the host will read.
    std::uint64_t settings_revision = 0;

    bool operator==(const member&) const = default;
};

/// A member, and when its entry last changed locally.
struct known_member {
    member entry;
    base::time_point changed_at{};
    int transmissions_left = 0; ///< How many more messages will carry the entry.
};

struct membership_options {
    base::duration suspicion{std::chrono::milliseconds(2'000)}; ///< Time from suspect to failed.
    /// Time from failed or left until the entry is removed.
    base::duration forget{std::chrono::seconds(120)};
    std::size_t updates_per_message = 8;
    std::uint64_t seed = 1;
};

/// One host's view of the cluster.
struct membership_state {
    membership_options options;
    member self;
    std::map<base::host_id, known_member> others;
    std::vector<base::host_id> probe_order; ///< Shuffled; each round probes every host once.
    std::mt19937_64 random;
};

/// Creates a view that contains only this host.
[[nodiscard]] membership_state make_membership(const member& self, const membership_options& options);

/// Merges an entry received from another host.
void merge_member(membership_state& state, const member& entry, base::time_point now);

/// Adds a host known only from the platform's host list. Never overrides an entry that hosts have
/// exchanged.
void add_listed_member(membership_state& state, const base::host_id& name, const std::string& peers_address,
                       base::time_point now);

/// The next host to probe. Round robin over a shuffled list, so that each round probes every host once,
/// including hosts that failed recently. Source: Das, Gupta and Motivala, "SWIM" (2002), section 4.3.
[[nodiscard]] std::optional<member> next_probe(membership_state& state);

/// Picks hosts to ask for an indirect probe of `target`.
[[nodiscard]] std::vector<member> indirect_probers(membership_state& state, const base::host_id& target,
                                                   std::size_t count);

/// Marks a host as suspect after neither direct nor indirect probes were answered.
void did_miss_probe(membership_state& state, const base::host_id& name, base::time_point now);

/// Marks expired suspects as failed and removes entries that have been gone for long. Returns the hosts
/// that failed now.
[[nodiscard]] std::vector<member> advance(membership_state& state, base::time_point now);

/// Entries to send with the next message: this host's own entry, the receiver's if it is not considered
/// alive, then those with the most transmissions left.
[[nodiscard]] std::vector<member> updates_to_send(membership_state& state, const base::host_id& receiver);

/// Updates this host's own entry and raises its version.
void change_self(membership_state& state, const member& changed);

/// Hosts that accept work, including this one, sorted by name.
[[nodiscard]] std::vector<member> working_members(const membership_state& state);

/// Whether the given incarnation of a host is known to have ended.
[[nodiscard]] bool is_gone(const membership_state& state, const base::host_id& name,
                           std::uint64_t incarnation);

[[nodiscard]] const char* to_text(liveness life);

} // namespace postpaddle::host
