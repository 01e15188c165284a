// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/peers/limit_exchange.h>
#include <gateway/peers/peer_datagrams.h>
#include <gateway/plain/upstream_load_exchange.h>

#include <set>

namespace postpaddle::gateway {

/// Exchanges, by datagrams, the work in progress at each engine with the other hosts of the cell. When its
/// own cell has no free slot, queries hosts of other cells for the load of their engines.
///
/// Reports are sent a few milliseconds after a change and periodically while there is work. Each report is
/// complete, so a lost one is corrected by the next. Stale data costs time, never correctness.
class load_exchange {
public:
    load_exchange(gateway_state& state, peer_datagrams& datagrams);

    void start();

private:
    bool handle(std::string_view bytes);
    /// Logs how many upstreams another host reports as avoided or out of service, if the numbers changed.
    void log_avoided(const host::load_report& report) const;
    void did_change();
    void send_report();
    void refresh();
    /// Periodically sends use of the organisations' limits that has not been reported yet.
    void schedule_use_check();
    [[nodiscard]] host::load_report own_report();
    /// Recipients: hosts of the own cell, and of the cells on whose engines this host has or had work.
    [[nodiscard]] std::vector<std::string> recipients();
    /// Recomputes the partition of hosts and engines into cells.
    void plan_cells();
    /// Queries hosts of other cells unless that was done recently; returns whether an answer is pending.
    bool try_query_other_cells();
    void query(const std::string& address, wire::yield_context yield);

    gateway_state* state;
    peer_datagrams* datagrams;
    limit_exchange limits;
    upstream_load_exchange plain_loads;
    wire::boot_timer report_timer;
    wire::boot_timer refresh_timer;
    wire::boot_timer use_timer;
    bool is_report_due = false;
    bool has_reported_work = false;
    std::uint64_t sequence = 0;
    base::time_point paces_reported_at{};
    std::set<host::cell> reported_cells; ///< Cells that the last report was sent to.
    int pending_queries = 0;
    base::time_point queried_at{};
};

} // namespace postpaddle::gateway
