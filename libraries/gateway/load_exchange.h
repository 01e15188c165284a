// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/limit_exchange.h>
#include <gateway/peer_datagrams.h>

#include <set>

namespace postpaddle::gateway {

/// Tells the other hosts of the cell, by datagrams, what this one has in progress at each engine, and hears
/// theirs; asks hosts of other cells for their engines' load where its own engines have no room.
///
/// A report goes out a few milliseconds after a change and now and then besides; it is always whole, so a
/// lost one is healed by the next, and what is stale costs time, never a promise.
class load_exchange {
public:
    load_exchange(gateway_state& state, peer_datagrams& datagrams);

    /// Starts hearing and telling.
    void start();

private:
    bool take(std::string_view bytes);
    void did_change();
    void tell();
    void refresh();
    /// Reports use of the organisations' limits that has not been told yet.
    void tell_use_regularly();
    [[nodiscard]] host::load_report own_report();
    /// Hosts to tell: those of the own cell, and of the cells at whose engines this host has or had work.
    [[nodiscard]] std::vector<std::string> hosts_to_tell();
    /// Divides hosts and engines anew.
    void plan_cells();
    /// Asks hosts of other cells unless that was done a moment ago; says whether an answer is awaited.
    bool try_ask_further();
    void ask(const std::string& address, wire::yield_context yield);

    gateway_state* state;
    peer_datagrams* datagrams;
    limit_exchange limits;
    wire::boot_timer tell_timer;
    wire::boot_timer refresh_timer;
    wire::boot_timer use_timer;
    bool is_telling_due = false;
    bool has_told_work = false;
    std::uint64_t sequence = 0;
    std::set<host::cell> told_cells; ///< That heard of work at their engines last time.
    int asks_open = 0;
    base::time_point asked_at{};
};

} // namespace postpaddle::gateway
