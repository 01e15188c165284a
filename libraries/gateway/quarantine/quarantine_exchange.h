// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/peers/peer_datagrams.h>
#include <gateway/quarantine/quarantine_codec.h>

#include <map>

namespace postpaddle::gateway {

/// Exchanges reports about requests suspected of crashing upstreams with the other hosts and the store.
///
/// New reports are sent to all hosts by datagrams, forwarded by their first receivers and repeated in
/// heartbeats. The host that saw the last crash stores a note about a quarantined request, so that it stays
/// quarantined even if all hosts fail at once; starting hosts read the notes. A host that may be partitioned
/// stores every crash that it sees and follows the notes of others. Nothing is sent or written while there
/// are no suspects.
class quarantine_exchange {
public:
    quarantine_exchange(gateway_state& state, ports::control_feed& feed, peer_datagrams& datagrams);

    /// Starts receiving, sending and reading; runs as long as the process.
    void start();

private:
    /// State of this host's note on one request.
    struct note_status {
        bool is_due = false;   ///< A crash that this host saw is not stored yet.
        bool has_note = false; ///< A note has been written.
    };

    [[nodiscard]] bool handle(std::string_view bytes);
    /// Handles reports from the host with that heartbeat address.
    void handle_reports(const std::vector<host::suspect_report>& reports, const std::string& sender);
    /// Applies a report of another host and forwards what is new.
    void handle_report(const host::suspect_report& report);
    /// Applies a report from any source; returns and logs what is new.
    std::optional<host::suspect_report> apply_report(const host::suspect_report& report, const char* origin);
    /// Call when this host saw a crash, or the successful completion of a suspected request.
    void did_observe(const host::suspect_report& report);
    /// Clears a request that another host suspects, if it has since completed successfully here.
    void clear_suspect(const host::suspect_report& reported, const std::string& sender);
    void send(const std::vector<host::suspect_report>& reports, const std::vector<std::string>& addresses);
    void schedule_check();
    void count_suspects() const;
    /// Stores notes on quarantined requests that have none yet.
    void store_quarantined();
    /// Stores crashes seen by this host if it may be partitioned from others.
    void store_due_notes();
    void store_note(const host::request_fingerprint& request);
    /// Deletes this host's note on a request that is no longer tracked.
    void delete_old_notes();
    void follow_store(wire::yield_context yield);
    [[nodiscard]] ports::feed_result<void> read_store(wire::yield_context yield);
    void handle_note(const ports::quarantine_note& note);
    [[nodiscard]] bool is_quarantined(const host::request_fingerprint& request) const;

    gateway_state* state;
    ports::control_feed* feed;
    peer_datagrams* datagrams;
    wire::boot_timer check_timer;
    std::map<host::request_fingerprint, note_status>
        own;                       ///< Requests that this host has seen a crash of or written a note on.
    bool has_read = false;         ///< The notes have been read completely.
    std::uint64_t next_offset = 0; ///< Offset from which to read further notes.
};

} // namespace postpaddle::gateway
